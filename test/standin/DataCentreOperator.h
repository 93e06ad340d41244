// The operator that evacuates data centres in turn and takes them back. An
// order without a clear answer is sent again, to the next node.
#ifndef hyssoppaddle_test_standin_DataCentreOperator_h
#define hyssoppaddle_test_standin_DataCentreOperator_h

#include "ControlClient.h"
#include "RunChecker.h"
#include "SoakState.h"

#include <string>
#include <vector>

namespace hyssoppaddle::standin {

class DataCentreOperator
{
public:
  DataCentreOperator(ControlClient& aClient, SoakState& aState)
    : client(aClient)
    , state(aState)
  {
  }

  // Ends once all are taken back in the calm phase.
  Awaitable<void> Run(std::vector<std::string> aDataCentres)
  {
    co_await this->client.Pause(kPauseMs);
    for (std::size_t i = 0; !this->state.calm; ++i) {
      const std::string dataCentre = aDataCentres[i % aDataCentres.size()];
      co_await this->Order(http::verb::post, dataCentre);
      ++this->confirmed;
      this->state.evacuatedSince[dataCentre] = SteadyMs();
      co_await this->client.Pause(kEvacuatedMs);
      this->state.evacuatedSince.erase(dataCentre);
      co_await this->Order(http::verb::delete_, dataCentre);
      co_await this->client.Pause(kPauseMs);
    }
  }

  [[nodiscard]] int Confirmed() const { return this->confirmed; }

private:
  static constexpr std::int64_t kEvacuatedMs = 4500;
  static constexpr std::int64_t kPauseMs = 1000;
  static constexpr std::int64_t kRetryMs = 100;

  static std::int64_t SteadyMs()
  {
    using namespace std::chrono;
    return duration_cast<milliseconds>(SteadyClock::now().time_since_epoch())
      .count();
  }

  Awaitable<void> Order(http::verb aMethod, std::string aDataCentre)
  {
    for (;;) {
      const std::string control = this->client.NextControl();
      const Response response = co_await this->client.Send(
        aMethod, control, "/evacuate/" + aDataCentre, "");
      std::cout << WallMs() << ' ' << http::to_string(aMethod)
                << " evacuation of " << aDataCentre << ' '
                << response.result_int() << std::endl;
      if (response.result_int() == 200) {
        co_return;
      }
      co_await this->client.Pause(kRetryMs);
    }
  }

  ControlClient& client;
  SoakState& state;
  int confirmed = 0;
};

} // namespace hyssoppaddle::standin

#endif
