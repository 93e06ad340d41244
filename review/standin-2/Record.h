// The record of a script: one line for each thing that was sent, answered or
// run, with the milliseconds since the start.
#ifndef hyssoppaddle_review_standin2_Record_h
#define hyssoppaddle_review_standin2_Record_h

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aFile);

  void Add(const std::string& aLine);
  // Milliseconds since the start of the record.
  [[nodiscard]] std::int64_t Now() const;

private:
  std::int64_t startedAt;
  std::mutex mutex;
  std::ofstream file;
};

} // namespace review

#endif
