#include "chicorystep/systems/workflows/workflow_calls.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "chicorystep/core/logging.h"
#include "chicorystep/systems/workflows/workflow_append_latency.h"
#include "chicorystep/systems/workflows/workflow_streams.h"

namespace chicorystep {
namespace {

using std::chrono::milliseconds;

// Leaves time for the answer within `revoke_bound`.
constexpr Duration kRevokeMargin = milliseconds(700);
// A call is answered this long before its caller times out, so that the answer
// arrives in time.
constexpr Duration kAnswerMargin = milliseconds(150);
// Retry delay of declined calls; outages of the store last for seconds.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Bounds the calls that wait for an append; each takes about 1 kB.
constexpr std::size_t kMaxQueuedCalls = 500;
// An append that was rejected or got no answer is retried after this delay.
constexpr Duration kAppendRetryDelay = milliseconds(150);
// The entry is unready when the store has not answered for this long, plus the
// 1.5 s that a read may wait for a record.
constexpr Duration kUnreadyAfter = milliseconds(2500);

// No more records are added to an append that has reached this size. A
// connection between regions carries twice as much within half of
// `kAppendTimeout`.
constexpr Bytes kAppendSoftLimit(140'000);
// Size of a record without payload and steps, and of each step.
constexpr Bytes kRecordOverhead(300);
constexpr Bytes kStepOverhead(120);
// Digits and comma of a step's number in a list.
constexpr std::size_t kDependencySize = 6;

// Bounds the cancels of unknown workflows that are kept; each takes about
// 200 bytes.
constexpr std::size_t kMaxEarlyCancels = 20'000;

// Larger acceptances do not fit a record of the store, which holds 256 KB.
constexpr Bytes kMaxAcceptance(200'000);
// The progress of more tasks does not fit one append, which holds 2 MB.
constexpr std::uint64_t kMaxTasks = 10'000;

constexpr std::size_t kIdLength = 16;

bool IsWorkflowId(std::string_view text) {
  return text.size() == kIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

// When the call is answered at the latest.
TimePoint CallDeadline(const PendingCall& pending) {
  return pending.arrived + pending.call.caller_timeout - kAnswerMargin;
}

// The workflow that a call names, whether or not its path matches a route;
// empty if the path does not end with an id.
WorkflowId FindNamedWorkflow(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  const std::string_view last =
      slash == std::string_view::npos ? path : path.substr(slash + 1);
  return IsWorkflowId(last) ? WorkflowId(std::string(last)) : WorkflowId();
}

// Lists the workflows of an append, as far as a log line has room for them.
std::string ListWorkflows(const std::vector<PendingCall>& calls) {
  constexpr std::size_t kMaxListed = 16;
  std::string list;
  for (std::size_t i = 0; i < std::min(calls.size(), kMaxListed); ++i) {
    list += (i == 0 ? "" : ",") + calls[i].workflow.value;
  }
  return list;
}

void Answer(const PendingCall& pending,
            CallAnswer answer,
            TimePoint now,
            WorkflowOutbox& outbox) {
  answer.exchange = pending.call.exchange;
  if (answer.result != CallResult::kOk || pending.call.kind != CallKind::kGet) {
    Log(LogLevel::kInfo, "call_answered",
        {{"call", std::string(EnumName(pending.call.kind))},
         {"workflow", pending.workflow.value},
         {"result", std::string(EnumName(answer.result))},
         {"detail", answer.detail},
         {"config_version", pending.config_version.value},
         {"config_age_ms", WholeMillis(pending.config_age)},
         {"waited_ms", WholeMillis(now - pending.arrived)},
         {"doubtful", pending.unconfirmed}});
  }
  outbox.answers.push_back(std::move(answer));
}

// Whether the call asks for a record in the journal.
bool IsWrite(CallKind kind) {
  return kind == CallKind::kSubmit || kind == CallKind::kCancel;
}

// The answer to a call that cannot be served now. A write may repeat one that
// another entry has appended without an answer. Such an append may be executed
// even after a complete read of the journal, so its outcome is unknown here; a
// refusal would promise that the write never takes effect.
CallAnswer MakeDecline(CallKind kind, std::string detail) {
  return CallAnswer{
      .result = IsWrite(kind) ? CallResult::kUnknown : CallResult::kRefused,
      .detail = std::move(detail),
      .retry_after = kRetryAfter};
}

// Answers a call that cannot be served now.
void Decline(const PendingCall& pending,
             std::string detail,
             TimePoint now,
             WorkflowOutbox& outbox) {
  Answer(pending, MakeDecline(pending.call.kind, std::move(detail)), now,
         outbox);
}

std::int64_t CountWaiting(const WorkflowWorld& world, const RouteName& route) {
  return std::count_if(world.workflows.rows.begin(), world.workflows.rows.end(),
                       [&](const Workflow& workflow) {
                         return workflow.terms.route == route &&
                                workflow.spec.occurrences == 0 &&
                                !workflow.cancel_requested &&
                                workflow.shown == WorkflowState::kQueued;
                       });
}

// Whether appends get no answer and no read of the journal has succeeded since
// the first unanswered append.
bool IsStoreUnresponsive(const WorkflowWorld& world) {
  const auto journal = world.streams.find(FollowedStream::kJournal);
  return world.callers.unanswered_since != kNever &&
         (journal == world.streams.end() ||
          journal->second.last_success < world.callers.unanswered_since);
}

// Why no write is queued now; nothing if one is.
std::optional<std::string> FindWriteProblem(const WorkflowWorld& world) {
  if (IsStoreUnresponsive(world)) {
    return "the store does not answer";
  }
  if (world.callers.queued.size() >= kMaxQueuedCalls) {
    return "too many callers wait for the store";
  }
  return std::nullopt;
}

// Queues `record` for an append on behalf of the caller, or declines the call.
void QueueAppend(WorkflowWorld& world,
                 PendingCall pending,
                 JournalRecord record,
                 TimePoint now,
                 WorkflowOutbox& outbox) {
  if (auto problem = FindWriteProblem(world)) {
    Decline(pending, std::move(*problem), now, outbox);
    return;
  }
  pending.record = std::move(record);
  world.callers.queued.push_back(std::move(pending));
}

// Handles a get or a cancel of a workflow that is in the table.
void HandleKnownWorkflow(WorkflowWorld& world,
                         const PendingCall& pending,
                         const Workflow& workflow,
                         TimePoint now,
                         WorkflowOutbox& outbox) {
  const bool cancelled =
      workflow.cancel_requested && !IsTerminal(workflow.shown);
  if (pending.call.kind == CallKind::kGet) {
    Answer(pending,
           CallAnswer{.state = cancelled ? WorkflowState::kCancelled
                                         : workflow.shown},
           now, outbox);
  } else if (!MayCancel(pending.workspace, workflow.terms.workspace)) {
    Answer(pending, CallAnswer{.result = CallResult::kNoWorkflow}, now, outbox);
  } else if (cancelled || IsTerminal(workflow.shown)) {
    Answer(pending, CallAnswer{}, now, outbox);
  } else {
    QueueAppend(
        world, pending,
        CancelRecord{.id = pending.workflow, .workspace = pending.workspace},
        now, outbox);
  }
}

// Estimates how many bytes the record takes in an append.
Bytes EstimateSize(const JournalRecord& record) {
  const auto* accepted = std::get_if<AcceptedRecord>(&record);
  if (accepted == nullptr) {
    return kRecordOverhead;
  }
  std::size_t variable = accepted->spec.payload.size();
  for (const StepSpec& step : accepted->spec.steps) {
    variable += step.required_label.size() + step.data_rack.value.size() +
                kDependencySize * step.depends_on.size();
  }
  return kRecordOverhead + kStepOverhead * accepted->spec.steps.size() +
         Bytes(static_cast<std::int64_t>(variable));
}

// Why a workflow of this size cannot be recorded; nothing if it can.
std::optional<std::string> FindSizeProblem(const AcceptedRecord& record) {
  std::uint64_t tasks = 0;
  for (const StepSpec& step : record.spec.steps) {
    tasks += step.count;
  }
  if (tasks > kMaxTasks) {
    return "more than 10000 tasks";
  }
  if (EstimateSize(record) > kMaxAcceptance) {
    return "the steps take too much space";
  }
  return std::nullopt;
}

void HandleCall(WorkflowWorld& world,
                const WorkflowCall& call,
                const WorkflowTime& time,
                WorkflowOutbox& outbox) {
  PendingCall pending{.call = call,
                      .workflow = FindNamedWorkflow(call.path),
                      .arrived = time.now};
  pending.deadline = CallDeadline(pending);
  if (world.config) {
    pending.config_version = world.config->version;
    if (const auto stream = world.streams.find(FollowedStream::kConfig);
        stream != world.streams.end()) {
      pending.config_age = time.now - stream->second.fresh_as_of;
    }
  }
  const RoutedCall routed = RouteCall(world, call, time.now);
  const WorkflowRoute* route = routed.route;
  if (route == nullptr) {
    Answer(pending, routed.refusal, time.now, outbox);
    return;
  }
  if (!route->open) {
    const auto key = world.config->keys.find(call.key);
    if (key == world.config->keys.end()) {
      Answer(pending, CallAnswer{.result = CallResult::kUnauthorised}, time.now,
             outbox);
      return;
    }
    pending.workspace = key->second;
  }
  if (call.kind == CallKind::kCount) {
    if (call.path.size() > route->path_prefix.size()) {
      Answer(pending, CallAnswer{.result = CallResult::kNoRoute}, time.now,
             outbox);
      return;
    }
    Answer(pending, CallAnswer{.waiting = CountWaiting(world, route->name)},
           time.now, outbox);
    return;
  }
  pending.workflow = WorkflowId(call.path.substr(route->path_prefix.size()));
  if (call.kind == CallKind::kSubmit) {
    SubmissionCheck check =
        CheckSubmission(world, call, *route, pending.workspace, time);
    if (check.acceptance) {
      QueueAppend(world, pending, std::move(*check.acceptance), time.now,
                  outbox);
    } else {
      Answer(pending, std::move(check.answer), time.now, outbox);
    }
  } else if (!IsWorkflowId(pending.workflow.value)) {
    Answer(pending, CallAnswer{.result = CallResult::kNoWorkflow}, time.now,
           outbox);
  } else if (const Workflow* workflow =
                 world.workflows.find(pending.workflow)) {
    HandleKnownWorkflow(world, pending, *workflow, time.now, outbox);
  } else {
    pending.deadline =
        std::min(pending.deadline, time.now + milliseconds(1000));
    world.awaiting_read.push_back(std::move(pending));
  }
}

// Resends the append in flight. Of the two sends, one may write the records
// while the other is rejected, so a rejection no longer proves that they are
// not written.
void ResendAppend(CallerLane& lane, TimePoint now, WorkflowOutbox& outbox) {
  AppendJournal append{.lane = AppendLane::kCallers, .batch = lane.last_batch};
  for (PendingCall& pending : lane.writing) {
    pending.unconfirmed = true;
    append.records.push_back(*pending.record);
  }
  if (lane.writing_orders_ended) {
    append.records.emplace_back(*lane.writing_orders_ended);
  }
  RecordSend(lane.latency, now);
  outbox.appends.push_back(std::move(append));
}

// Records the cancel of a workflow that is not in the journal, for an
// acceptance that is appended late.
void CancelUnknownWorkflow(WorkflowWorld& world,
                           PendingCall pending,
                           TimePoint now,
                           WorkflowOutbox& outbox) {
  if (world.early_cancels.size() >= kMaxEarlyCancels) {
    Decline(pending, "too many cancels of unknown workflows", now, outbox);
    return;
  }
  pending.deadline = CallDeadline(pending);
  CancelRecord record{.id = pending.workflow, .workspace = pending.workspace};
  QueueAppend(world, std::move(pending), std::move(record), now, outbox);
}

// Answers the calls that wait for a read of the journal. Only a read that began
// after the call arrived proves that the workflow does not exist.
void AnswerAwaitingRead(WorkflowWorld& world,
                        const WorkflowTime& time,
                        WorkflowOutbox& outbox) {
  std::vector<PendingCall> waiting;
  waiting.swap(world.awaiting_read);
  for (PendingCall& pending : waiting) {
    if (const Workflow* workflow = world.workflows.find(pending.workflow)) {
      HandleKnownWorkflow(world, pending, *workflow, time.now, outbox);
    } else if (world.streams[FollowedStream::kJournal].fresh_as_of >=
               pending.arrived) {
      if (pending.call.kind == CallKind::kCancel) {
        CancelUnknownWorkflow(world, std::move(pending), time.now, outbox);
      } else {
        Answer(pending, CallAnswer{.result = CallResult::kNoWorkflow}, time.now,
               outbox);
      }
    } else if (time.now >= pending.deadline) {
      Decline(pending, "the journal cannot be read", time.now, outbox);
    } else {
      world.awaiting_read.push_back(std::move(pending));
    }
  }
}

void CompleteWrittenCalls(WorkflowWorld& world,
                          const WorkflowTime& time,
                          WorkflowOutbox& outbox) {
  for (PendingCall& pending : world.callers.writing) {
    ApplyJournalRecord(world, *pending.record, time);
    if (!pending.answered) {
      const bool known = world.workflows.find(pending.workflow) != nullptr;
      Answer(pending,
             CallAnswer{.result =
                            known ? CallResult::kOk : CallResult::kNoWorkflow},
             time.now, outbox);
    } else {
      Log(LogLevel::kInfo, "written_after_answer",
          {{"call", std::string(EnumName(pending.call.kind))},
           {"workflow", pending.workflow.value},
           {"waited_ms", WholeMillis(time.now - pending.arrived)}});
    }
  }
  world.callers.writing.clear();
  world.callers.unanswered_since = kNever;
  if (world.callers.orders_ended == world.callers.writing_orders_ended) {
    world.callers.orders_ended.reset();
  }
}

// Requeues calls whose record may have been written. Those whose record is
// guaranteed not to be are requeued until the caller could have come back, then
// declined.
void RequeueOrDecline(WorkflowWorld& world,
                      bool unknown,
                      const WorkflowTime& time,
                      WorkflowOutbox& outbox) {
  CallerLane& lane = world.callers;
  std::vector<PendingCall> requeued;
  for (PendingCall& pending : lane.writing) {
    pending.unconfirmed = pending.unconfirmed || unknown;
    if (pending.answered) {
      continue;
    }
    if (pending.unconfirmed || time.now < pending.arrived + kRetryAfter) {
      requeued.push_back(std::move(pending));
    } else {
      Decline(pending, "the store rejects writes", time.now, outbox);
    }
  }
  lane.writing.clear();
  lane.queued.insert(lane.queued.begin(),
                     std::make_move_iterator(requeued.begin()),
                     std::make_move_iterator(requeued.end()));
  lane.next_send = time.now + kAppendRetryDelay;
  if (unknown && lane.unanswered_since == kNever) {
    lane.unanswered_since = time.now;
    // Usually one connection broke, so the first retry need not wait.
    lane.next_send = time.now;
  }
}

// Gives the final answer to a call whose deadline has passed.
void AnswerTimedOut(PendingCall& pending,
                    bool outcome_unknown,
                    TimePoint now,
                    WorkflowOutbox& outbox) {
  pending.answered = true;
  if (outcome_unknown) {
    Answer(pending,
           CallAnswer{.result = CallResult::kUnknown,
                      .detail = "the store has not confirmed it"},
           now, outbox);
  } else {
    Decline(pending, "the store was not reached in time", now, outbox);
  }
}

}  // namespace

const WorkflowRoute* MatchRoute(const WorkflowConfig& config,
                                std::string_view host,
                                std::string_view path) {
  const WorkflowRoute* best = nullptr;
  for (const WorkflowRoute& route : config.routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

RoutedCall RouteCall(const WorkflowWorld& world,
                     const WorkflowCall& call,
                     TimePoint now) {
  if (!world.config) {
    return {.refusal = MakeDecline(call.kind, "no configuration yet")};
  }
  const WorkflowRoute* route = MatchRoute(*world.config, call.host, call.path);
  if ((route == nullptr || !route->open) &&
      !IsFresh(world, FollowedStream::kConfig,
               world.self.revoke_bound - kRevokeMargin, now)) {
    return {.refusal =
                MakeDecline(call.kind, "the configuration may be out of date")};
  }
  return {.route = route, .refusal = {.result = CallResult::kNoRoute}};
}

SubmissionCheck CheckSubmission(const WorkflowWorld& world,
                                const WorkflowCall& call,
                                const WorkflowRoute& route,
                                const Workspace& workspace,
                                const WorkflowTime& time) {
  const auto malformed = [](std::string detail) {
    return SubmissionCheck{.answer = {.result = CallResult::kMalformed,
                                      .detail = std::move(detail)}};
  };
  const WorkflowId id(call.path.substr(route.path_prefix.size()));
  if (!IsWorkflowId(id.value)) {
    return malformed("the id is not 16 hexadecimal digits");
  }
  if (!call.spec) {
    return malformed(call.malformed);
  }
  if (const Workflow* known = world.workflows.find(id)) {
    return {.answer = {.detail = "known already, accepted by " +
                                 known->accepted_by.value}};
  }
  AcceptedRecord record{
      .id = id,
      .spec = *call.spec,
      .terms = WorkflowTerms{.route = route.name,
                             .workspace = workspace,
                             .service = route.service,
                             .priority = route.priority,
                             .max_attempts = route.max_attempts,
                             .target = route.target,
                             .stretch = route.stretch},
      .accepted = time.wall,
      .entry = world.self.id};
  if (auto problem = FindSizeProblem(record)) {
    return malformed(std::move(*problem));
  }
  if (auto problem = FindWriteProblem(world)) {
    return {.answer = MakeDecline(CallKind::kSubmit, std::move(*problem))};
  }
  return {.acceptance = std::move(record)};
}

void HandleCalls(WorkflowWorld& world,
                 const WorkflowInbox& inbox,
                 const WorkflowTime& time,
                 WorkflowOutbox& outbox) {
  for (const WorkflowCall& call : inbox.calls) {
    HandleCall(world, call, time, outbox);
  }
}

void EndCalls(WorkflowWorld& world,
              const WorkflowInbox& inbox,
              const WorkflowTime& time,
              WorkflowOutbox& outbox) {
  CallerLane& lane = world.callers;
  for (const JournalAppended& ended : inbox.appended) {
    if (ended.lane != AppendLane::kCallers || !lane.in_flight ||
        ended.batch != lane.last_batch) {
      continue;
    }
    if (!RecordSendOutcome(lane.latency, ended, time.now)) {
      continue;
    }
    lane.in_flight = false;
    if (ended.outcome == AppendOutcome::kWritten) {
      CompleteWrittenCalls(world, time, outbox);
    } else {
      Log(LogLevel::kWarn, "append_not_confirmed",
          {{"lane", "callers"},
           {"outcome", std::string(EnumName(ended.outcome))},
           {"calls", lane.writing.size()},
           {"workflows", ListWorkflows(lane.writing)},
           {"sent_bytes", ended.sent.value},
           {"took_ms", WholeMillis(time.now - ended.began)}});
      RequeueOrDecline(world, ended.outcome == AppendOutcome::kUnknown, time,
                       outbox);
    }
  }
  for (PendingCall& pending : lane.writing) {
    if (!pending.answered && time.now >= pending.deadline) {
      AnswerTimedOut(pending, true, time.now, outbox);
    }
  }
  for (PendingCall& pending : lane.queued) {
    if (time.now >= pending.deadline) {
      AnswerTimedOut(pending, pending.unconfirmed, time.now, outbox);
    }
  }
  std::erase_if(lane.queued, [](const PendingCall& p) { return p.answered; });
  AnswerAwaitingRead(world, time, outbox);
}

void AppendCalls(WorkflowWorld& world, TimePoint now, WorkflowOutbox& outbox) {
  CallerLane& lane = world.callers;
  if (lane.in_flight && IsProbablyLost(lane.latency, world.store_answer, now)) {
    ResendAppend(lane, now, outbox);
    return;
  }
  if (lane.in_flight || (lane.queued.empty() && !lane.orders_ended) ||
      now < lane.next_send) {
    return;
  }
  AppendJournal append{.lane = AppendLane::kCallers,
                       .batch = ++lane.last_batch};
  std::size_t taken = 0;
  for (Bytes size; taken < lane.queued.size() && size < kAppendSoftLimit;
       ++taken) {
    append.records.push_back(*lane.queued[taken].record);
    size += EstimateSize(append.records.back());
  }
  const auto rest = lane.queued.begin() + static_cast<std::ptrdiff_t>(taken);
  lane.writing.assign(std::make_move_iterator(lane.queued.begin()),
                      std::make_move_iterator(rest));
  lane.queued.erase(lane.queued.begin(), rest);
  lane.writing_orders_ended = lane.orders_ended;
  if (lane.writing_orders_ended) {
    append.records.emplace_back(*lane.writing_orders_ended);
  }
  lane.in_flight = true;
  lane.latency.unanswered_sends = 0;
  RecordSend(lane.latency, now);
  outbox.appends.push_back(std::move(append));
}

TimePoint NextCallAppendDue(const WorkflowWorld& world) {
  return world.callers.in_flight
             ? ResendDue(world.callers.latency, world.store_answer)
             : kNever;
}

bool IsReady(const WorkflowWorld& world, TimePoint now) {
  return world.config && !world.stopping && !IsStoreUnresponsive(world) &&
         IsFresh(world, FollowedStream::kConfig,
                 kUnreadyAfter + kLongestReadWait, now) &&
         IsFresh(world, FollowedStream::kJournal,
                 kUnreadyAfter + kLongestReadWait, now);
}

}  // namespace chicorystep
