// In-memory file layer that simulates loss of unsynced data, torn writes, a
// full disk and failed syncs.
#ifndef hyssoppaddle_test_storage_FakeFileLayer_h
#define hyssoppaddle_test_storage_FakeFileLayer_h

#include "base/Random.h"
#include "storage/FileLayer.h"

#include <map>
#include <memory>

namespace hyssoppaddle::test {

// Simulated disk. Must outlive the file layers that are opened on it.
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
  bool skipsSync = false; // syncs report success without making data durable
  std::size_t capacity = ~std::size_t{ 0 };
  bool hasDescriptors = true; // otherwise no file can be opened
  std::size_t syncsUntilFailure = ~std::size_t{ 0 };
  std::size_t operations = 0;
  std::size_t operationsUntilCrash = ~std::size_t{ 0 };

  // Simulates a crash: keeps synced data, a random part of the unsynced data,
  // and either the synced or the current set of names.
  void Crash(Random& aRandom);
  [[nodiscard]] std::size_t UsedBytes() const;
  // Counts an operation. Returns false once operationsUntilCrash have run; the
  // operation must then have no effect.
  [[nodiscard]] bool BeginOperation();
};

std::unique_ptr<storage::FileLayer>
OpenFake(FakeDisk& aDisk);

} // namespace hyssoppaddle::test

#endif
