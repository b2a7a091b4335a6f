#ifndef CHICORYSTEP_FWD_H_
#define CHICORYSTEP_FWD_H_

// Forward declarations of the types that the parts of the scheduler exchange.

namespace chicorystep {

struct Config;
struct Edit;
struct EntrySettings;
struct Inbox;
struct InstanceList;
struct Members;
struct Outbox;
struct Refusal;
struct Requests;
struct Jobs;
struct View;
struct World;
class ControlLoop;

}  // namespace chicorystep

#endif  // CHICORYSTEP_FWD_H_
