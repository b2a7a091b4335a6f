#include "chicorystep/standin/executor_standin.h"

#include <string>
#include <thread>
#include <utility>

#include "chicorystep/core/outcome.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/standin/lost_answer.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, ExecutorFaults& faults) {
  archive("refuse", faults.refuse);
  archive("lose_answers", faults.lose_answers);
  archive("cross_answers", faults.cross_answers);
  archive("cut_answers", faults.cut_answers);
  archive("delay_us", faults.delay);
  archive("execute_twice", faults.execute_twice);
  archive("swap_answers", faults.swap_answers);
  archive("deny_executions", faults.deny_executions);
}

namespace impl {

inline constexpr int kBadFaults = 400;
inline constexpr int kBusy = 503;

// Takes one of the `remaining` faults; false when none remains.
bool ConsumeFault(std::int64_t& remaining) {
  if (remaining <= 0) {
    return false;
  }
  --remaining;
  return true;
}

// The faults and the run time of one call, decided when the call begins.
struct CallPlan {
  bool refuse = false;
  bool lose_answer = false;
  bool cross_answer = false;
  bool cut_answer = false;
  bool execute_twice = false;
  bool swap_answer = false;
  bool deny_execution = false;
  Duration run_time{};
};

void RecordEvent(ExecutorStandin& standin, const RequestId& id, bool executed) {
  standin.events.push_back(
      ExecutorEvent{id, executed, std::chrono::steady_clock::now()});
}

CallPlan BeginCall(ExecutorStandin& standin, const RequestId& id) {
  const std::scoped_lock lock(standin.mutex);
  RecordEvent(standin, id, false);
  CallPlan plan;
  plan.refuse =
      ConsumeFault(standin.faults.refuse) || standin.busy >= standin.slots;
  if (plan.refuse) {
    return plan;
  }
  standin.busy += Slots{1};
  plan.lose_answer = ConsumeFault(standin.faults.lose_answers);
  plan.cross_answer = ConsumeFault(standin.faults.cross_answers);
  plan.cut_answer = ConsumeFault(standin.faults.cut_answers);
  plan.execute_twice = ConsumeFault(standin.faults.execute_twice);
  plan.swap_answer = ConsumeFault(standin.faults.swap_answers);
  plan.deny_execution = ConsumeFault(standin.faults.deny_executions);
  plan.run_time = standin.run_time + standin.faults.delay;
  return plan;
}

void Execute(ExecutorStandin& standin, const RequestId& id) {
  ++standin.executions[id];
  RecordEvent(standin, id, true);
}

Slots EndCall(ExecutorStandin& standin,
              const RequestId& id,
              const CallPlan& plan) {
  const std::scoped_lock lock(standin.mutex);
  Execute(standin, id);
  if (plan.execute_twice) {
    Execute(standin, id);
  }
  standin.busy -= Slots{1};
  return standin.busy;
}

void CutAnswer(httplib::Response& response, const std::string& body) {
  response.set_content_provider(
      body.size() + 1, "application/octet-stream",
      [body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
        return offset == 0 && !body.empty() &&
               sink.write(body.data(), body.size());
      });
}

void RefuseRun(httplib::Response& response) {
  response.status = kBusy;
  response.set_header(kOutcomeHeader,
                      std::string(EnumName(Execution::kNotRun)));
}

void HandleRun(ExecutorStandin& standin,
               const httplib::Request& request,
               httplib::Response& response) {
  const RequestId id(request.get_header_value(kRequestIdHeader));
  const CallPlan plan = BeginCall(standin, id);
  response.set_header(kRequestIdHeader,
                      plan.cross_answer ? id.value + "-other" : id.value);
  if (plan.refuse) {
    RefuseRun(response);
    return;
  }
  std::this_thread::sleep_for(plan.run_time);
  const Slots busy = EndCall(standin, id, plan);
  if (plan.deny_execution) {
    RefuseRun(response);
    return;
  }
  response.set_header(kOutcomeHeader, std::string(EnumName(Execution::kRan)));
  response.set_header(kBusySlotsHeader, std::to_string(busy.value));
  if (plan.lose_answer) {
    LoseAnswer(response);
  } else if (plan.cut_answer) {
    CutAnswer(response, request.body);
  } else if (plan.swap_answer) {
    response.set_content("other " + request.body, "text/plain");
  } else {
    response.set_content(request.body, GetContentType(request));
  }
}

std::string DumpExecutions(ExecutorStandin& standin) {
  const std::scoped_lock lock(standin.mutex);
  Json executions = Json::object();
  for (const auto& [id, count] : standin.executions) {
    executions[id.value] = count;
  }
  return executions.dump();
}

}  // namespace impl

void AddExecutorRoutes(httplib::Server& server, ExecutorStandin& standin) {
  using httplib::Request;
  using httplib::Response;
  server.Post(R"(/v1/run/([A-Za-z0-9._-]+))",
              [&standin](const Request& request, Response& response) {
                impl::HandleRun(standin, request, response);
              });
  server.Get("/v1/executions", [&standin](const Request&, Response& response) {
    response.set_content(impl::DumpExecutions(standin), kJsonType);
  });
  server.Post("/v1/faults",
              [&standin](const Request& request, Response& response) {
                const auto faults = DecodeJson<ExecutorFaults>(request.body);
                if (!faults) {
                  response.status = impl::kBadFaults;
                  return;
                }
                const std::scoped_lock lock(standin.mutex);
                standin.faults = faults.value();
              });
}

}  // namespace chicorystep
