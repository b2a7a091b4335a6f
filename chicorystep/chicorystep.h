#ifndef CHICORYSTEP_CHICORYSTEP_H_
#define CHICORYSTEP_CHICORYSTEP_H_

// Umbrella header for the scheduling logic: core types, tables, systems,
// control and settings. Headers for encodings, traffic and platform clients are
// included individually.

#include "chicorystep/control/loop.h"
#include "chicorystep/control/mailbox.h"
#include "chicorystep/control/tick.h"
#include "chicorystep/control/view.h"
#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/logging.h"
#include "chicorystep/core/outcome.h"
#include "chicorystep/core/result.h"
#include "chicorystep/core/strong.h"
#include "chicorystep/core/table.h"
#include "chicorystep/core/units.h"
#include "chicorystep/core/version.h"
#include "chicorystep/settings/entry_settings.h"
#include "chicorystep/settings/ini.h"
#include "chicorystep/settings/table_files.h"
#include "chicorystep/settings/values.h"
#include "chicorystep/systems/cells/cells.h"
#include "chicorystep/systems/cells/gangs.h"
#include "chicorystep/systems/cells/job_operations.h"
#include "chicorystep/systems/cells/job_records.h"
#include "chicorystep/systems/cells/membership.h"
#include "chicorystep/systems/cells/placement.h"
#include "chicorystep/systems/cells/stopping.h"
#include "chicorystep/systems/config/config_edits.h"
#include "chicorystep/systems/config/config_stream.h"
#include "chicorystep/systems/requests/routing.h"
#include "chicorystep/tables/config.h"
#include "chicorystep/tables/instances.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/log.h"
#include "chicorystep/tables/members.h"
#include "chicorystep/tables/requests.h"
#include "chicorystep/tables/world.h"

#endif  // CHICORYSTEP_CHICORYSTEP_H_
