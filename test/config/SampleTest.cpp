// Tests of the shipped samples.
#include "config/BundleParser.h"
#include "config/Settings.h"

#include "Texts.h"
#include "support/TestTrace.h"

#include <filesystem>
#include <set>

using namespace hyssoppaddle;
using namespace hyssoppaddle::config;
using namespace hyssoppaddle::test;

// Guards against samples that the current parser rejects.
Test(Samples, AllOfThemParse)
{
  TestTrace trace;
  const std::filesystem::path root(HYSSOPPADDLE_SOURCE_DIR);
  int files = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root / "samples")) {
    if (entry.path().extension() != ".json") {
      continue;
    }
    ++files;
    const std::string name = entry.path().lexically_relative(root).string();
    trace.Section(name, [&] {
      const std::string text = ReadSource(name);
      const bool isBundle = entry.path().filename() == "bundle.json";
      const auto bundle = ParseBundle(text);
      const auto settings = ParseSettings(text);
      cr_assert(isBundle ? bundle.has_value() : settings.has_value(),
                "%s:%s",
                trace.Path().c_str(),
                ShowAll(isBundle ? bundle.error() : settings.error()).c_str());
    });
  }
  EXPECT_THAT(trace, files >= 29);
}

// Guards against samples whose sizes differ from those on the design page.
Test(Samples, DeploymentsHaveTheStatedSizes)
{
  TestTrace trace;
  struct Deployment
  {
    const char* folder;
    std::vector<std::size_t> workers;
    std::size_t dataCentres;
    std::int64_t milliCpus;
  };
  const std::vector<Deployment> deployments{
    { "03-payroll-printer", { 9, 9, 11, 12, 8 }, 3, 32000 },
    { "04-depots-cooperative", { 8, 9, 11, 12, 8 }, 4, 16000 },
  };
  for (const Deployment& deployment : deployments) {
    trace.Section(deployment.folder, [&] {
      const std::string folder = std::string("samples/") + deployment.folder;
      const auto bundle = ParseBundle(ReadSource(folder + "/bundle.json"));
      EXPECT_EQUAL(trace, bundle->dataCentres.size(), deployment.dataCentres);
      EXPECT_EQUAL(trace, bundle->workspaces.size(), 6U);
      std::size_t workers = 0;
      std::map<RackId, std::size_t> racks;
      for (std::size_t i = 0; i < bundle->pools.size(); ++i) {
        const state::PoolSpec& pool = bundle->pools[i];
        EXPECT_EQUAL(trace, pool.instances.size(), deployment.workers[i]);
        workers += pool.instances.size();
        for (const state::InstanceSpec& instance : pool.instances) {
          EXPECT_EQUAL(
            trace, instance.capacity.milliCpus, deployment.milliCpus);
          EXPECT_THAT(trace, ++racks[instance.rack] <= 4);
        }
      }
      std::size_t shares = 0;
      for (const state::TeamSpec& team : bundle->teams) {
        shares += team.share;
        EXPECT_THAT(trace, team.limit >= team.share);
      }
      EXPECT_EQUAL(trace, shares, 8 * workers);
    });
  }
}
