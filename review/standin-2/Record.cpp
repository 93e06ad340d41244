// Writes the lines of the record.
#include "Record.h"

#include "Http.h"

namespace review {

Record::Record(const std::string& aFile)
  : startedAt(SteadyMs())
  , file(aFile, std::ios::trunc)
{
}

std::int64_t
Record::Now() const
{
  return SteadyMs() - this->startedAt;
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard lock(this->mutex);
  this->file << this->Now() << ' ' << aLine << std::endl;
}

} // namespace review
