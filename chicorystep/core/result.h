#ifndef CHICORYSTEP_CORE_RESULT_H_
#define CHICORYSTEP_CORE_RESULT_H_

#include <boost/outcome.hpp>

namespace chicorystep {

// A value or an error. Each layer declares its own error type and translates
// the errors of the layer below.
template <typename Value, typename Error>
using Result = boost::outcome_v2::unchecked<Value, Error>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_RESULT_H_
