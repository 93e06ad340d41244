// The operators' interface of a node, and its orders for data centres.
#include "node/OperatorCalls.h"
#include "node/CallHandler.h"
#include "support/TestTrace.h"

#include <nlohmann/json.hpp>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::optional<Call>
Decode(std::string aMethod,
       std::string aTarget,
       std::string aBody = {},
       api::Listener aListener = api::Listener::Control)
{
  api::HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  request.listener = aListener;
  return DecodeOperatorCall(request);
}

struct OrderFixture
{
  work::WorkState state;
  dispatch::Dispatcher dispatcher{ {}, this->state };
  std::vector<work::Command> proposals;
  std::vector<Replica::ProposalCallback> answers;
  std::vector<Reply> replies;
  CallHandler handler;

  explicit OrderFixture(std::vector<DataCentreId> aDataCentres)
    : handler(this->state,
              this->dispatcher,
              "127.0.0.1:1",
              this->Callbacks(),
              std::move(aDataCentres))
  {
  }

  CallHandler::Callbacks Callbacks()
  {
    CallHandler::Callbacks callbacks;
    callbacks.propose = [this](std::vector<work::Command> aCommands,
                               Replica::ProposalCallback aDone) {
      this->proposals.push_back(std::move(aCommands.front()));
      this->answers.push_back(std::move(aDone));
    };
    callbacks.confirm = [](Replica::ReadCallback aDone) { aDone(true); };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    callbacks.now = [] { return Time(seconds(100)); };
    return callbacks;
  }

  void Order(const char* aDataCentre, bool aRequested)
  {
    this->handler.Handle(
      EvacuateCall{ DataCentreId(aDataCentre), aRequested, "me" },
      [this](Reply aReply) { this->replies.push_back(std::move(aReply)); });
  }
  void Commit()
  {
    work::Batch batch;
    batch.commands.push_back(this->proposals.back());
    const auto verdicts = this->state.Apply(batch);
    this->answers.back()(ProposalResult::Committed, verdicts);
  }
};

} // namespace

Test(OperatorCalls, DecodesOrdersForDataCentres)
{
  TestTrace trace;
  const auto empty =
    Decode("POST", "/v1/data-centres/dc-1/empty", R"({"by":"me"})");
  EXPECT_THAT(trace, empty.has_value());
  const auto& order = std::get<EvacuateCall>(*empty);
  EXPECT_EQUAL(trace, order.dataCentre, DataCentreId("dc-1"));
  EXPECT_EQUAL(trace, order.by, std::string("me"));
  EXPECT_THAT(trace, order.requested);
  const auto restore = Decode("POST", "/v1/data-centres/dc-1/restore");
  EXPECT_THAT(trace, !std::get<EvacuateCall>(*restore).requested);
  const auto show = Decode("GET", "/v1/data-centres");
  EXPECT_THAT(trace, std::holds_alternative<ShowEvacuationsCall>(*show));
  trace.Section("odd calls are rejected", [&] {
    for (const auto& [target, body] :
         { std::pair{ "/v1/data-centres/dc-1/close", "" },
           { "/v1/data-centres//empty", "" },
           { "/v1/data-centres/a/b/empty", "" },
           { "/v1/data-centres/empty", "" },
           { "/v1/data-centres", "" },
           { "/v1/data-centres/a/empty", "[]" },
           { "/v1/data-centres/a/empty", "{" },
           { "/v1/data-centres/a/empty", R"({"by":7})" } }) {
      trace.Section(target, [&, t = target, b = body] {
        const auto call = Decode("POST", t, b);
        EXPECT_THAT(trace, call.has_value());
        EXPECT_THAT(trace, std::holds_alternative<MalformedCall>(*call));
      });
    }
  });
  trace.Section("other calls belong to the protocol of the deployment", [&] {
    EXPECT_THAT(trace, !Decode("PUT", "/config"));
    EXPECT_THAT(trace,
                !Decode("GET", "/v1/data-centres", "", api::Listener::Callers));
  });
}

Test(OperatorCalls, ShowsWhatIsLeft)
{
  TestTrace trace;
  dispatch::EvacuationProgress progress;
  progress.dataCentre = DataCentreId("dc-1");
  progress.order = { WallTime(milliseconds(1500)), "me" };
  progress.tasks = 3;
  progress.expectedEnd = milliseconds(250);
  const auto shown = nlohmann::json::parse(EncodeEvacuations({ &progress, 1 }));
  const auto& row = shown.at("data_centres").at(0);
  EXPECT_EQUAL(trace, row.at("data_centre"), "dc-1");
  EXPECT_EQUAL(trace, row.at("by"), "me");
  EXPECT_EQUAL(trace, row.at("since_ms"), 1500);
  EXPECT_EQUAL(trace, row.at("tasks"), 3);
  EXPECT_EQUAL(trace, row.at("expected_end_ms"), 250);
}

// Guards against a confirmation of an order that a later leader does not know.
Test(OperatorCalls, AnOrderIsConfirmedOnceItIsCommitted)
{
  TestTrace trace;
  OrderFixture fixture({});
  fixture.Order("dc", true);
  EXPECT_EQUAL(trace, fixture.replies.size(), std::size_t{ 0 });
  fixture.Commit();
  EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::Done);
  EXPECT_THAT(trace, fixture.state.IsEvacuating(DataCentreId("dc")));
  trace.Section("a repetition is recorded and confirmed again", [&] {
    fixture.Order("dc", true);
    EXPECT_EQUAL(trace, fixture.replies.size(), std::size_t{ 1 });
    fixture.Commit();
    EXPECT_THAT(trace, fixture.replies.at(1).outcome == Outcome::Done);
  });
  trace.Section("an order that was not committed is not confirmed", [&] {
    fixture.Order("dc", false);
    fixture.answers.back()(ProposalResult::Undecided, {});
    EXPECT_THAT(trace, fixture.replies.at(2).outcome == Outcome::Undecided);
  });
  trace.Section("a withdrawal is, also of an order that is not in force", [&] {
    for (int i = 0; i < 2; ++i) {
      fixture.Order("dc", false);
      fixture.Commit();
      EXPECT_THAT(trace, fixture.replies.back().outcome == Outcome::Done);
    }
    EXPECT_THAT(trace, !fixture.state.IsEvacuating(DataCentreId("dc")));
  });
}

// Guards against a proper order that is refused because no upstream of its data
// centre is recorded, and against a wrong name that is taken without a word.
Test(OperatorCalls, RefusesDataCentresThatTheDeploymentDoesNotHave)
{
  TestTrace trace;
  OrderFixture fixture({ DataCentreId("dc-0"), DataCentreId("dc-1") });
  fixture.Order("dc-9", true);
  EXPECT_THAT(trace, fixture.proposals.empty());
  EXPECT_THAT(trace,
              fixture.replies.at(0).outcome == Outcome::NoSuchDataCentre);
  trace.Section("a listed one needs no upstream", [&] {
    fixture.Order("dc-1", true);
    EXPECT_EQUAL(trace, fixture.proposals.size(), std::size_t{ 1 });
  });
  trace.Section("one that is not listed but has an upstream is known", [&] {
    work::Upstream upstream;
    upstream.dataCentre = DataCentreId("dc-9");
    work::Batch batch;
    batch.commands.emplace_back(
      work::SetUpstream{ InstanceId("up"), upstream });
    fixture.state.Apply(batch);
    fixture.Order("dc-9", true);
    EXPECT_EQUAL(trace, fixture.proposals.size(), std::size_t{ 2 });
  });
  trace.Section("without a list every name is accepted", [&] {
    OrderFixture other({});
    other.Order("dc-9", true);
    EXPECT_EQUAL(trace, other.proposals.size(), std::size_t{ 1 });
  });
}
