#ifndef CHICORYSTEP_TABLES_TASK_WAITS_H_
#define CHICORYSTEP_TABLES_TASK_WAITS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "chicorystep/core/enum_names.h"

namespace chicorystep {

// Why no task is placed on a worker, whatever capacity it has free.
enum class WorkerRejection : std::uint8_t {
  kNone,
  kUnlisted,
  kDraining,
  // The operator has evacuated its zone.
  kEvacuated,
  // It has not answered this holder yet.
  kUnread,
  // It has restarted, or another process answers at its address, and the
  // platform has not listed it again.
  kListingOutdated,
  // It has not answered the newest hold, or the answer is overdue.
  kUnanswered,
  kAnswerOverdue,
  // It failed starts or runs, or is slow.
  kExcluded,
  // It does not enforce its capacity and runs tasks that the tables do not
  // place there.
  kOrphanedRuns,
};
template <>
inline constexpr std::array kEnumNames<WorkerRejection> = {
    std::string_view("none"),       std::string_view("unlisted"),
    std::string_view("draining"),   std::string_view("evacuated"),
    std::string_view("unread"),     std::string_view("listing_outdated"),
    std::string_view("unanswered"), std::string_view("answer_overdue"),
    std::string_view("excluded"),   std::string_view("orphaned_runs"),
};

// What a workflow waits for that has a task without a run.
enum class WaitReason : std::uint8_t {
  kNothing,
  // This process is not the holder, and only the holder's tables show the
  // reason.
  kHolder,
  kDueTime,
  kEarlierSteps,
  // No listed worker of the workflow's service has the required label.
  kSuitableWorker,
  // Workers are suitable, but a task of the step fits on none of them even when
  // it is empty.
  kLargerWorker,
  // A task of the step fits on a suitable worker once enough capacity is free.
  kFreeCapacity,
  // There is room, but only on workers on which nothing is placed now.
  kUsableWorker,
  // A gang that runs slower across racks fits, but in no single rack.
  kOneRack,
  // A gang fits, but on workers on which its members cannot all start before
  // the first ones have waited too long for the others.
  kGangStarts,
  // There is room, but the workers that have it run enough tasks of the step.
  kSpread,
  // There is room, but it is kept for other work, or the next placement pass is
  // due.
  kReservation,
  // Other members of the gang have not returned to waiting.
  kGangMembers,
  // The placement is not recorded yet.
  kRecord,
  // The start order is queued, and has not been sent.
  kStartSent,
  // The start order has been sent and is not confirmed.
  kStartConfirmed,
  // The stop order is not confirmed.
  kStopConfirmed,
  // The run may be in progress, but the worker has not reported it for a while,
  // or not since this process became holder.
  kReport,
};
template <>
inline constexpr std::array kEnumNames<WaitReason> = {
    std::string_view("nothing"),
    std::string_view("holder"),
    std::string_view("due_time"),
    std::string_view("earlier_steps"),
    std::string_view("suitable_worker"),
    std::string_view("larger_worker"),
    std::string_view("room"),
    std::string_view("usable_worker"),
    std::string_view("one_rack"),
    std::string_view("gang_starts"),
    std::string_view("max_per_worker"),
    std::string_view("reservation"),
    std::string_view("gang_members"),
    std::string_view("record"),
    std::string_view("start_sent"),
    std::string_view("start_confirmed"),
    std::string_view("stop_confirmed"),
    std::string_view("report"),
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_TASK_WAITS_H_
