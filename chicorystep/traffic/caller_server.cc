#include "chicorystep/traffic/caller_server.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "chicorystep/core/outcome.h"
#include "chicorystep/encoding/caller_messages.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/traffic/executor_attempt.h"
#include "chicorystep/traffic/guarded_server.h"
#include "chicorystep/traffic/headers.h"

namespace chicorystep {
namespace impl {

// Added to the request's deadline, or to the platform time-out of a job
// operation, when a traffic thread waits for an instruction.
inline constexpr Duration kDecisionMargin = std::chrono::seconds(5);

int HttpStatusFor(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kTooLarge:
      return 413;
    case Reason::kUnknownKind:
    case Reason::kUnknownJob:
      return 404;
    case Reason::kUnknownWorkspace:
      return 403;
    case Reason::kDuplicateId:
    case Reason::kAlreadyClaimed:
      return 409;
    case Reason::kNeverRunnable:
      return 422;
    case Reason::kOverloaded:
      return 429;
    case Reason::kDeadlineUnreachable:
    case Reason::kDeadlinePassed:
      return 504;
    case Reason::kExecutorFailed:
    case Reason::kAnswerCutShort:
    case Reason::kAnswerMismatched:
      return 502;
    default:
      return 503;
  }
}

void WriteRefusal(httplib::Response& response, const Refusal& refusal) {
  response.status = HttpStatusFor(refusal.reason);
  response.set_header(kOutcomeHeader, std::string(EnumName(refusal.execution)));
  response.set_content(EncodeRefusal(refusal), kJsonType);
}

// The validated header fields of a call.
struct CallHeader {
  RequestId id;
  Workspace workspace;
  std::optional<Duration> deadline;
};

Result<CallHeader, Refusal> ParseCallHeader(const httplib::Request& request,
                                            Duration max_deadline) {
  const auto make_refusal = [](std::string detail) {
    return failure(Refusal{Execution::kNotRun, Reason::kBadRequest,
                           std::move(detail), Duration{}});
  };
  CallHeader header{
      .id = RequestId(request.get_header_value(kRequestIdHeader)),
      .workspace = Workspace(request.get_header_value(kWorkspaceHeader))};
  if (!IsName(header.id.value)) {
    return make_refusal(
        fmt::format("{}: expected {}", kRequestIdHeader, kNameFormat));
  }
  if (!IsName(header.workspace.value)) {
    return make_refusal(
        fmt::format("{}: expected {}", kWorkspaceHeader, kNameFormat));
  }
  if (request.has_header(kDeadlineHeader)) {
    const auto count = ParseCount(request.get_header_value(kDeadlineHeader));
    const auto max_count =
        std::chrono::floor<std::chrono::milliseconds>(max_deadline).count();
    if (!count || *count < 1 || *count > max_count) {
      return make_refusal(fmt::format("{}: expected milliseconds from 1 to {}",
                                      kDeadlineHeader, max_count));
    }
    header.deadline = std::chrono::milliseconds(*count);
  }
  return header;
}

// Keeps an exchange open for the lifetime of this object.
class ScopedExchange {
 public:
  explicit ScopedExchange(ExchangeDispatcher& exchange_dispatcher)
      : dispatcher(exchange_dispatcher), id(exchange_dispatcher.Open()) {}
  ScopedExchange(const ScopedExchange&) = delete;
  ScopedExchange& operator=(const ScopedExchange&) = delete;
  ~ScopedExchange() { this->dispatcher.Close(this->id); }

  ExchangeDispatcher& dispatcher;
  const ExchangeId id;
};

// Whether at most one header field gives the length of the body, and a
// Content-Length is a number. Ambiguous lengths would allow request smuggling.
bool HasUnambiguousLength(const httplib::Request& request) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t codings =
      request.get_header_value_count("Transfer-Encoding");
  if (lengths == 0) {
    return codings <= 1;
  }
  return lengths == 1 && codings == 0 &&
         ParseCount(request.get_header_value("Content-Length")).has_value();
}

// Checks a request head before the body is read. Returns a refusal when the
// body is too large or encoded, or when its length or a header field is
// ambiguous.
std::optional<Refusal> ValidateRequestHead(const httplib::Request& request,
                                           Bytes max_body) {
  const auto make_refusal = [](Reason reason, std::string detail) {
    return Refusal{Execution::kNotRun, reason, std::move(detail), Duration{}};
  };
  if (!HasUnambiguousLength(request)) {
    return make_refusal(Reason::kBadRequest,
                        "expected one whole Content-Length or a chunked body");
  }
  if (Bytes(
          ParseCount(request.get_header_value("Content-Length")).value_or(0)) >
      max_body) {
    return make_refusal(
        Reason::kTooLarge,
        fmt::format("a body has at most {} bytes", max_body.value));
  }
  if (request.has_header("Content-Encoding")) {
    return make_refusal(Reason::kBadRequest, "Content-Encoding: expected none");
  }
  for (const char* field :
       {kRequestIdHeader, kWorkspaceHeader, kDeadlineHeader}) {
    if (request.get_header_value_count(field) > 1) {
      return make_refusal(Reason::kBadRequest,
                          fmt::format("{}: expected once", field));
    }
  }
  return std::nullopt;
}

void WriteAnswer(httplib::Response& response, AttemptAnswer answer) {
  response.status = 200;
  response.set_header(kOutcomeHeader, std::string(EnumName(Execution::kRan)));
  response.set_header("Content-Type", answer.content_type);
  response.body = std::move(answer.body);
}

Refusal MakeTimeoutRefusal() {
  return Refusal{Execution::kUnknown, Reason::kNotReady, "no decision in time",
                 Duration{}};
}

// The refusal of a request for which there is no memory.
Refusal MakeRoomRefusal(Execution execution) {
  return Refusal{execution, Reason::kOverloaded,
                 "too many requests wait for their answers",
                 std::chrono::seconds(1)};
}

// Answers a request with a refusal and records it for operators.
void RefuseRequest(CallerContext& context,
                   const RequestMessage& message,
                   const Refusal& refusal,
                   httplib::Response& response) {
  RecordRefusal(context.refusals,
                RefusedRequest{.at = std::chrono::system_clock::now(),
                               .id = message.id,
                               .workspace = message.workspace,
                               .kind = message.kind,
                               .refusal = refusal});
  WriteRefusal(response, refusal);
}

// Executes the instructions for one request until its exchange ends. Refuses
// the request with an unknown outcome when no instruction arrives in time.
void RunExchange(CallerContext& context,
                 const ScopedExchange& exchange,
                 const RequestMessage& message,
                 Duration wait_timeout,
                 httplib::Response& response) {
  AttemptAnswer answer;
  while (auto next = context.dispatcher.Await(exchange.id, wait_timeout)) {
    if (const auto* send = std::get_if<SendAttempt>(&*next)) {
      answer = RunAttempt(context.executors, *send, message);
      context.loop.Post([&](Inbox& inbox) {
        inbox.attempts_ended.push_back(
            AttemptEnded{.exchange = exchange.id,
                         .attempt = send->attempt,
                         .result = answer.result,
                         .reported_busy = answer.reported_busy,
                         .answer_size = Bytes(std::ssize(answer.body))});
      });
    } else if (const auto* end = std::get_if<EndExchange>(&*next)) {
      if (end->refusal) {
        RefuseRequest(context, message, *end->refusal, response);
      } else {
        WriteAnswer(response, std::move(answer));
      }
      return;
    }
  }
  RefuseRequest(context, message, MakeTimeoutRefusal(), response);
}

void HandleRequest(CallerContext& context,
                   const httplib::Request& request,
                   httplib::Response& response) {
  if (!BeginServingRequest()) {
    WriteRefusal(response, MakeRoomRefusal(Execution::kNotRun));
    return;
  }
  const auto header = ParseCallHeader(request, context.settings.max_deadline);
  if (!header) {
    WriteRefusal(response, header.error());
    return;
  }
  const RequestMessage message{.id = header.value().id,
                               .workspace = header.value().workspace,
                               .kind = Kind(request.matches[1]),
                               .body = request.body,
                               .content_type = GetContentType(request)};
  response.set_header(kRequestIdHeader, message.id.value);

  const ScopedExchange exchange(context.dispatcher);
  context.loop.Post([&](Inbox& inbox) {
    inbox.requests.push_back(
        RequestArrived{.exchange = exchange.id,
                       .id = message.id,
                       .workspace = message.workspace,
                       .kind = message.kind,
                       .size = Bytes(std::ssize(message.body)),
                       .deadline = header.value().deadline});
  });
  const Duration wait_timeout =
      header.value().deadline.value_or(context.settings.max_deadline) +
      kDecisionMargin;
  const auto begin = std::chrono::steady_clock::now();
  RunExchange(context, exchange, message, wait_timeout, response);
  context.metrics.request_seconds->Observe(
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count());
}

void RunJobOperation(CallerContext& context,
                     JobOperation operation,
                     int success_status,
                     httplib::Response& response) {
  const ScopedExchange exchange(context.dispatcher);
  operation.exchange = exchange.id;
  context.loop.Post([&](Inbox& inbox) {
    inbox.job_operations.push_back(std::move(operation));
  });
  const auto next = context.dispatcher.Await(
      exchange.id, context.settings.platform_timeout + kDecisionMargin);
  const auto* end = next ? std::get_if<EndJobOperation>(&*next) : nullptr;
  if (end == nullptr) {
    WriteRefusal(response, MakeTimeoutRefusal());
  } else if (end->refusal) {
    WriteRefusal(response, *end->refusal);
  } else {
    response.status = success_status;
    response.set_content(EncodeJobStatus(end->status), kJsonType);
  }
}

void HandleSubmit(CallerContext& context,
                  const httplib::Request& request,
                  httplib::Response& response) {
  if (!BeginServingRequest()) {
    // Another entry may have accepted an earlier attempt.
    WriteRefusal(response, MakeRoomRefusal(Execution::kUnknown));
    return;
  }
  const auto header = ParseCallHeader(request, context.settings.max_deadline);
  if (!header) {
    WriteRefusal(response, header.error());
    return;
  }
  auto spec = DecodeJobSpec(request.body);
  if (!spec) {
    WriteRefusal(response, Refusal{Execution::kNotRun, Reason::kBadRequest,
                                   spec.error().detail, Duration{}});
    return;
  }
  if (!IsName(spec.value().kind.value)) {
    WriteRefusal(
        response,
        Refusal{Execution::kNotRun, Reason::kBadRequest,
                fmt::format("kind: expected {}", kNameFormat), Duration{}});
    return;
  }
  JobOperation operation{.kind = JobOperationKind::kSubmit,
                         .spec = std::move(spec.value())};
  operation.spec.request_id = header.value().id;
  operation.spec.workspace = header.value().workspace;
  RunJobOperation(context, std::move(operation), 202, response);
}

void HandleJob(CallerContext& context,
               JobOperationKind kind,
               const httplib::Request& request,
               httplib::Response& response) {
  if (!BeginServingRequest()) {
    WriteRefusal(response, MakeRoomRefusal(Execution::kUnknown));
    return;
  }
  const Workspace workspace(request.get_header_value(kWorkspaceHeader));
  if (!IsName(workspace.value)) {
    WriteRefusal(response, Refusal{Execution::kNotRun, Reason::kBadRequest,
                                   fmt::format("{}: expected {}",
                                               kWorkspaceHeader, kNameFormat),
                                   Duration{}});
    return;
  }
  RunJobOperation(context,
                  JobOperation{.kind = kind,
                               .spec = JobSpec{.id = JobId(request.matches[1]),
                                               .workspace = workspace}},
                  200, response);
}

}  // namespace impl

void AddCallerRoutes(httplib::Server& server, CallerContext& context) {
  using httplib::Request;
  using httplib::Response;
  server.Post(R"(/v1/requests/([A-Za-z0-9._-]{1,64}))",
              [&context](const Request& request, Response& response) {
                impl::HandleRequest(context, request, response);
              });
  server.Post("/v1/jobs",
              [&context](const Request& request, Response& response) {
                impl::HandleSubmit(context, request, response);
              });
  server.Get(R"(/v1/jobs/([A-Za-z0-9._-]{1,128}))",
             [&context](const Request& request, Response& response) {
               impl::HandleJob(context, JobOperationKind::kGet, request,
                               response);
             });
  server.Delete(R"(/v1/jobs/([A-Za-z0-9._-]{1,128}))",
                [&context](const Request& request, Response& response) {
                  impl::HandleJob(context, JobOperationKind::kCancel, request,
                                  response);
                });
  server.set_pre_routing_handler(
      [&context](const Request& request, Response& response) {
        const auto refusal =
            impl::ValidateRequestHead(request, context.settings.max_body);
        if (!refusal) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        impl::WriteRefusal(response, *refusal);
        CloseConnectionAfter(response);
        return httplib::Server::HandlerResponse::Handled;
      });
  server.set_error_handler([](const Request&, Response& response) {
    if (response.body.empty()) {
      const Reason reason =
          response.status == 413 ? Reason::kTooLarge : Reason::kBadRequest;
      const int status = response.status;
      impl::WriteRefusal(response,
                         Refusal{Execution::kNotRun, reason,
                                 "the request was not understood", Duration{}});
      response.status = status;
      CloseConnectionAfter(response);
    }
  });
  server.set_post_routing_handler(
      [&context](const Request&, Response& response) {
        if (context.loop.CurrentView()->stopping) {
          CloseConnectionAfter(response);
        }
      });
}

}  // namespace chicorystep
