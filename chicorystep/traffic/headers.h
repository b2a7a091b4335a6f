#ifndef CHICORYSTEP_TRAFFIC_HEADERS_H_
#define CHICORYSTEP_TRAFFIC_HEADERS_H_

namespace chicorystep {

// The header fields of the HTTP interfaces; docs/INTERFACES.md defines them.
inline constexpr const char* kRequestIdHeader = "Request-Id";
inline constexpr const char* kWorkspaceHeader = "Workspace";
inline constexpr const char* kDeadlineHeader = "Deadline-Ms";
inline constexpr const char* kAttemptHeader = "Attempt";
inline constexpr const char* kOutcomeHeader = "Outcome";
inline constexpr const char* kBusySlotsHeader = "Busy-Slots";
inline constexpr const char* kCallHostHeader = "Call-Host";
inline constexpr const char* kCallPathHeader = "Call-Path";

// Internal field into which a listener moves the Content-Type of a request, so
// that the HTTP library does not parse the body.
inline constexpr const char* kBodyContentTypeHeader = "Body-Content-Type";

inline constexpr const char* kJsonType = "application/json";

}  // namespace chicorystep

#endif  // CHICORYSTEP_TRAFFIC_HEADERS_H_
