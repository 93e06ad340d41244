// Tests of ejection, slow start, adaptive concurrency and the retry budget.
#include "request/Ejector.h"
#include "request/Fleet.h"
#include "request/RetryBudget.h"

#include <deque>
#include <set>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

// Sends requests. Attempts at an upstream in aBad fail to connect; all others
// finish. Returns the upstreams that are ejected at the end.
std::set<std::string>
Drive(Fleet& aFleet,
      const std::set<std::string>& aBad,
      int aCount,
      std::set<std::string> aEjected = {})
{
  // Enough concurrent requests to use the failing upstreams too: at low load,
  // they would be avoided because of their computed load before they are
  // ejected.
  constexpr std::size_t kRunning = 60;
  std::deque<StartAttempt> running;
  for (int number = 0; number < aCount; ++number) {
    aFleet.AdvanceTime(Seconds(0.02));
    Effects effects = aFleet.Renew();
    const Effects arrived = aFleet.Step(aFleet.Request("team-a"));
    effects.insert(effects.end(), arrived.begin(), arrived.end());
    for (std::size_t at = 0; at < effects.size(); ++at) {
      Effects more;
      if (const auto* start = std::get_if<StartAttempt>(&effects[at])) {
        const StartAttempt attempt = *start;
        if (aBad.contains(attempt.upstream.value)) {
          more = aFleet.Fail(attempt, AttemptPhase::Connecting);
        } else {
          running.push_back(attempt);
        }
      }
      if (running.size() > kRunning) {
        const Effects ended = aFleet.Finish(running.front());
        running.pop_front();
        more.insert(more.end(), ended.begin(), ended.end());
      }
      if (const auto* line = std::get_if<LogDecision>(&effects[at])) {
        if (line->kind == "eject") {
          aEjected.insert(line->subject);
        } else if (line->kind == "readmit") {
          aEjected.erase(line->subject);
        }
      }
      effects.insert(effects.end(), more.begin(), more.end());
    }
  }
  for (const StartAttempt& attempt : running) {
    aFleet.Finish(attempt);
  }
  return aEjected;
}

} // namespace

// Guards against upstreams that keep getting requests although every attempt
// fails, and against ejecting more than 30% of a service when a rack is lost.
Test(Ejector, EjectsAtMost30Percent)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 20;
  options.permits = 100;
  Fleet fleet(options);
  const std::set<std::string> rack{ "u0",  "u3",  "u6", "u9", "u12",
                                    "u15", "u18", "u1", "u4" };
  const auto ejected = Drive(fleet, rack, 2000);
  EXPECT_EQUAL(trace, ejected.size(), 6U);
  for (const std::string& upstream : ejected) {
    EXPECT_THAT(trace, rack.contains(upstream));
  }
  const auto countOut = [&] {
    std::size_t out = 0;
    for (const std::string& name : rack) {
      const auto lines =
        fleet.reducer.ExplainUpstream(InstanceId(name), fleet.now);
      out += lines[0].find("ejected") != std::string::npos ? 1 : 0;
    }
    return out;
  };
  trace.Section("some are readmitted when the service shrinks", [&] {
    EXPECT_EQUAL(trace, countOut(), 6U);
    for (const char* name : { "u2", "u5", "u7", "u8" }) {
      state::Announcement left =
        fleet.Announcement(static_cast<std::uint32_t>(name[1] - '0'));
      left.state = state::UpstreamState::Departing;
      fleet.Announce(left);
    }
    EXPECT_EQUAL(trace, countOut(), 4U);
  });
  trace.Section("probes readmit the upstreams that work again", [&] {
    Drive(fleet, {}, 4000);
    EXPECT_EQUAL(trace, countOut(), 0U);
  });
}

// Guards against frequent probes of an upstream that keeps failing.
Test(Ejector, ProbesWithExponentialDelay)
{
  TestTrace trace;
  Ejector ejector(1);
  Upstream upstream;
  ServiceGroup group;
  group.usable = 10;
  upstream.group = &group;
  for (std::uint32_t failure = 1; failure < Ejector::kFailuresToEject;
       ++failure) {
    EXPECT_THAT(trace,
                !ejector.OnFailure(upstream, Time(Seconds(1))).has_value());
  }
  Duration expected = Ejector::kFirstProbeDelay;
  for (int probe = 0; probe < 8; ++probe) {
    const auto delay = ejector.OnFailure(upstream, Time(Seconds(1)));
    EXPECT_THAT(trace, delay >= expected && *delay <= expected * 5 / 4);
    EXPECT_EQUAL(trace, group.ejected.size(), 1U);
    Ejector::BeginProbe(upstream);
    expected = std::min(expected * 2, Ejector::kMaxProbeDelay);
  }
  EXPECT_THAT(trace, Ejector::OnSuccess(upstream));
  EXPECT_THAT(trace, group.ejected.empty());
}

// Guards against a new upstream that gets its full load before its caches and
// connection pools are warm.
Test(Router, StartsNewUpstreamsSlowly)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 0;
  options.slots = 10;
  Fleet fleet(options);
  fleet.Serve(0);
  const auto limit = [&] {
    const auto* text = "";
    for (const char* count : { "1", "2", "5", "9", "10" }) {
      const auto lines =
        fleet.reducer.ExplainUpstream(InstanceId("u0"), fleet.now);
      if (lines[1].find("of " + std::string(count) + " ") !=
          std::string::npos) {
        text = count;
      }
    }
    return std::string(text);
  };
  EXPECT_EQUAL(trace, limit(), std::string("1"));
  fleet.AdvanceWithTicks(Seconds(5), Seconds(1));
  EXPECT_EQUAL(trace, limit(), std::string("5"));
  fleet.AdvanceWithTicks(Seconds(5), Seconds(1));
  EXPECT_EQUAL(trace, limit(), std::string("10"));
}

// Guards against a concurrency limit that does not react to an overloaded
// upstream, never recovers, or exceeds the declared slots.
Test(Concurrency, FollowsLatencyWithinTheDeclaredSlots)
{
  TestTrace trace;
  ConcurrencyLimit limit;
  limit.SetCeiling(8);
  Time now{ Seconds(100) };
  const auto answers = [&](Duration aLatency, int aCount) {
    for (int answer = 0; answer < aCount; ++answer) {
      now += Seconds(0.1);
      limit.OnAnswer(aLatency, Seconds(0.1), true, now);
    }
  };
  answers(Seconds(0.5), 60);
  EXPECT_EQUAL(trace, limit.Value(), 1.0);
  answers(Seconds(0.1), 200);
  EXPECT_EQUAL(trace, limit.Value(), 8.0);
  trace.Section("refusals lower it at most once per response time", [&] {
    limit.OnRejected(now);
    limit.OnRejected(now);
    EXPECT_EQUAL(trace, limit.Value(), 8 * 0.5);
  });
}

// Guards against retries that amplify an outage.
Test(RetryBudget, LimitsRetriesInAFullOutage)
{
  TestTrace trace;
  RetryBudget budget;
  Time now{ Seconds(1000) };
  std::uint32_t retries = 0;
  trace.Section("1000 failing first attempts per second for 20 s", [&] {
    for (int step = 0; step < 20000; ++step) {
      now += Seconds(0.001);
      budget.OnFirstAttempt(now);
      retries += budget.TryRetry(now) ? 1 : 0;
      retries += budget.TryRetry(now) ? 1 : 0;
    }
    EXPECT_THAT(trace, retries <= 20000 / 10 + 3 * 21);
    EXPECT_THAT(trace, retries >= 20000 / 10 - 50);
  });
  trace.Section("an idle service may retry 3 times per second", [&] {
    RetryBudget quiet;
    for (int retry = 0; retry < 3; ++retry) {
      EXPECT_THAT(trace, quiet.TryRetry(now));
    }
    EXPECT_THAT(trace, !quiet.TryRetry(now));
    EXPECT_THAT(trace, quiet.TryRetry(now + Seconds(1)));
  });
  trace.Section("delays double and have jitter", [&] {
    Random random(1);
    for (std::uint32_t tries = 1; tries < 4; ++tries) {
      const Duration full = RetryBudget::kFirstDelay * (1 << (tries - 1));
      const Duration delay = RetryBudget::Delay(tries, random);
      EXPECT_THAT(trace, delay >= full / 2 && delay <= full);
    }
  });
}

// Guards against retries after the deadline or beyond the budget in the
// complete request path. During an outage, every request ends and the retries
// add at most 10% load plus the fixed minimum.
Test(RetryBudget, LimitsTheLoadDuringAnOutage)
{
  TestTrace trace;
  Fleet fleet;
  std::uint64_t attempts = 0;
  std::uint64_t refused = 0;
  const auto fail = [&](Effects aEffects) {
    for (std::size_t at = 0; at < aEffects.size(); ++at) {
      if (const auto* start = std::get_if<StartAttempt>(&aEffects[at])) {
        ++attempts;
        const StartAttempt attempt = *start;
        const Effects more = fleet.Fail(attempt, AttemptPhase::Connecting);
        aEffects.insert(aEffects.end(), more.begin(), more.end());
      }
    }
    refused += EffectsOf<Refuse>(aEffects).size();
  };
  for (int number = 0; number < 2000; ++number) {
    fail(fleet.Step(fleet.Request("team-a")));
    fleet.AdvanceTime(Seconds(0.01));
    fail(fleet.Renew());
  }
  for (int step = 0; step < 200; ++step) {
    fleet.AdvanceTime(Seconds(0.1));
    fail(fleet.Renew());
  }
  EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
  EXPECT_EQUAL(trace, refused, 2000U);
  EXPECT_THAT(trace, attempts <= 2200U + 3 * 41);
}
