#ifndef CHICORYSTEP_ENCODING_JOB_FIELDS_H_
#define CHICORYSTEP_ENCODING_JOB_FIELDS_H_

#include "chicorystep/encoding/config_fields.h"
#include "chicorystep/tables/jobs.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, JobSpec& spec) {
  archive("id", spec.id);
  archive("request_id", spec.request_id);
  archive("workspace", spec.workspace);
  archive("kind", spec.kind);
  archive("shape", spec.shape);
  archive("command", spec.command);
  archive("declared_run_time_us", spec.declared_run_time);
  archive("idempotent", spec.idempotent);
  archive("checkpointable", spec.checkpointable);
}

template <typename Archive>
void VisitFields(Archive& archive, JobStatus& status) {
  archive("job_id", status.id);
  archive("state", status.state);
  archive("detail", status.detail);
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_JOB_FIELDS_H_
