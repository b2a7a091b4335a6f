#ifndef CHICORYSTEP_STANDIN_LOST_ANSWER_H_
#define CHICORYSTEP_STANDIN_LOST_ANSWER_H_

#include <httplib.h>

namespace chicorystep {

// Closes the connection before the first byte of the answer's body, so that the
// outcome stays unknown to the caller.
inline void LoseAnswer(httplib::Response& response) {
  response.body.clear();
  response.set_content_provider(
      1, "application/octet-stream",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_LOST_ANSWER_H_
