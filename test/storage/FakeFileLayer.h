// In-memory file layer that loses unsynced data, tears writes, fills up,
// corrupts bytes and fails syncs.
#ifndef hyssoppaddle_test_storage_FakeFileLayer_h
#define hyssoppaddle_test_storage_FakeFileLayer_h

#include "base/Random.h"
#include "storage/FileLayer.h"

#include <map>
#include <memory>

namespace hyssoppaddle::test {

// Outlives the layers opened on it, as a disk outlives processes.
struct FakeDisk
{
  struct File
  {
    std::string content;
    std::size_t syncedBytes = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>, std::less<>>;

  Names names;       // as the process sees them
  Names syncedNames; // as of the last folder sync
  bool locked = false;
  bool skipsSync = false; // reports success, keeps nothing
  std::size_t capacity = ~std::size_t{ 0 };
  std::size_t syncsUntilFailure = ~std::size_t{ 0 };
  std::size_t operations = 0;
  std::size_t operationsUntilCrash = ~std::size_t{ 0 };

  // Keeps synced data, a random part of the rest, and either the old or the
  // new set of names.
  void Crash(Random& aRandom);
  [[nodiscard]] std::size_t UsedBytes() const;
  // False once the planned crash has been reached: nothing happens any more.
  [[nodiscard]] bool Proceed();
};

std::unique_ptr<storage::FileLayer>
OpenFake(FakeDisk& aDisk);

} // namespace hyssoppaddle::test

#endif
