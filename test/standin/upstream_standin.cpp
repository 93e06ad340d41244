// Stand-in for an upstream in tests and benchmarks, not part of a release. It
// announces itself, answers requests according to their path, runs fake tasks
// under leases and executes instructions.
//
// upstream_standin --instance NAME --service S --pool P --data-centre D
//   --rack R --control 127.0.0.1:PORT[,...] --token hp_upstream_ID_SECRET
//   [--address 127.0.0.1:0] [--slots 8] [--connections 64] [--run-ms 1000]
//   [--usage-lag-ms 2000] [--fail-tasks]
#include "UpstreamStandin.h"

#include <csignal>
#include <iostream>
#include <map>

int
main(int argc, char** argv)
{
  std::map<std::string, std::string> values;
  for (int i = 1; i < argc; ++i) {
    const std::string name = argv[i];
    const bool isFlag = i + 1 == argc || std::string(argv[i + 1])[0] == '-';
    values[name] = isFlag ? "1" : argv[++i];
  }
  const auto text = [&](const std::string& aName, const std::string& aDefault) {
    const auto found = values.find(aName);
    return found == values.end() ? aDefault : found->second;
  };
  hyssoppaddle::standin::Options options;
  options.instance = text("--instance", "u1");
  options.service = text("--service", "quotes");
  options.pool = text("--pool", "pool");
  options.dataCentre = text("--data-centre", "dc");
  options.rack = text("--rack", "rack");
  options.token = text("--token", "");
  options.address = text("--address", "127.0.0.1:0");
  options.slots = std::stoi(text("--slots", "8"));
  options.connections = std::stoi(text("--connections", "64"));
  options.runMs = std::stoi(text("--run-ms", "1000"));
  options.usageLagMs = std::stoi(text("--usage-lag-ms", "2000"));
  options.failTasks = values.contains("--fail-tasks");
  std::string controls = text("--control", "");
  while (!controls.empty()) {
    const auto comma = controls.find(',');
    options.controls.push_back(controls.substr(0, comma));
    controls = comma == std::string::npos ? "" : controls.substr(comma + 1);
  }
  boost::asio::io_context io(1);
  hyssoppaddle::standin::Upstream upstream(io, options);
  std::cout << upstream.Address() << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      upstream.Depart();
    }
  });
  io.run();
  return 0;
}
