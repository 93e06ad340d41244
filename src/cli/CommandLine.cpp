// Parses the options of one subcommand with cxxopts.
#include "cli/CommandLine.h"

#include <cxxopts.hpp>

#include <iostream>
#include <optional>

namespace hyssoppaddle::cli {

struct CommandLine::Impl
{
  Impl(const std::string& aName, const std::string& aSummary)
    : options("hyssoppaddle " + aName, aSummary)
  {
  }

  cxxopts::Options options;
  std::optional<cxxopts::ParseResult> result;
  std::vector<std::string> positional;
  std::size_t low = 0;
  std::size_t high = 0;
  ExitCode code = ExitCode::Done;
};

CommandLine::CommandLine(std::string_view aName,
                         std::string_view aPositional,
                         std::string_view aSummary)
  : impl(std::make_unique<Impl>(std::string(aName), std::string(aSummary)))
{
  this->impl->options.positional_help(std::string(aPositional));
  this->impl->options.add_options()("h,help", "Show this help")(
    "arguments", "", cxxopts::value<std::vector<std::string>>());
  this->impl->options.parse_positional({ "arguments" });
}

CommandLine::~CommandLine() = default;

void
CommandLine::AddText(const std::string& aName,
                     const std::string& aHelp,
                     const std::string& aDefault)
{
  this->impl->options.add_options()(
    aName, aHelp, cxxopts::value<std::string>()->default_value(aDefault));
}

void
CommandLine::AddFlag(const std::string& aName, const std::string& aHelp)
{
  this->impl->options.add_options()(aName, aHelp);
}

void
CommandLine::ExpectPositional(std::size_t aLow, std::size_t aHigh)
{
  this->impl->low = aLow;
  this->impl->high = aHigh;
}

bool
CommandLine::Parse(std::span<const std::string> aArguments)
{
  std::vector<const char*> pointers{ "hyssoppaddle" };
  for (const std::string& argument : aArguments) {
    pointers.push_back(argument.c_str());
  }
  Impl& self = *this->impl;
  try {
    self.result =
      self.options.parse(static_cast<int>(pointers.size()), pointers.data());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "hyssoppaddle: " << error.what() << "; see --help\n";
    self.code = ExitCode::Usage;
    return false;
  }
  if (self.result->count("help") > 0) {
    std::cout << self.options.help({ "" });
    return false;
  }
  if (self.result->count("arguments") > 0) {
    self.positional =
      (*self.result)["arguments"].as<std::vector<std::string>>();
  }
  const std::size_t count = self.positional.size();
  if (count < self.low || count > self.high) {
    std::cerr << "hyssoppaddle: expected " << self.low
              << (self.high > self.low ? " or more" : "")
              << " argument(s), got " << count << "; see --help\n";
    self.code = ExitCode::Usage;
    return false;
  }
  return true;
}

ExitCode
CommandLine::Code() const
{
  return this->impl->code;
}

std::string
CommandLine::Text(const std::string& aName) const
{
  return (*this->impl->result)[aName].as<std::string>();
}

bool
CommandLine::Flag(const std::string& aName) const
{
  return this->impl->result->count(aName) > 0;
}

const std::vector<std::string>&
CommandLine::Positional() const
{
  return this->impl->positional;
}

} // namespace hyssoppaddle::cli
