#define BOOST_TEST_MODULE platform_codec
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "platform/callers.h"
#include "platform/codec.h"
#include "platform/settings.h"

namespace chicorystep::platform {
namespace {

using std::chrono::milliseconds;

// A request body and whether it decodes to a job.
struct JobCase {
  std::string name;
  std::string body;
  bool valid;
};

const std::vector<JobCase> kJobCases = {
    {"one step", R"({"Spec":"x","Steps":[{"Count":2,"Cpu":500,"MemMb":1}]})",
     true},
    {"unknown fields are ignored",
     R"({"Spec":"x","New":[1],"Steps":[{"Count":1,"Other":{}}]})", true},
    {"every field",
     R"({"Spec":"x","Steps":[{"Count":1},{"Count":3,"Cpu":1,"MemMb":2,"Gpu":4,
        "EstimateMs":5,"DependsOn":[0],"SavesProgress":true,"Gang":true,
        "SameRack":true,"Image":"scorer","Requires":"a","Affinity":"r1","MaxPerServer":2,
        "Speculative":true,"LongRunning":true,"Fills":false}],
        "Times":3,"StartTimeMs":1700000000000,"IntervalMs":500})",
     true},
    {"not JSON", "Count=2", false},
    {"nothing", "", false},
    {"no steps", R"({"Spec":"x"})", false},
    {"an empty list of steps", R"({"Spec":"x","Steps":[]})", false},
    {"steps of another type", R"({"Spec":"x","Steps":{"Count":1}})", false},
    {"a step without tasks", R"({"Spec":"x","Steps":[{"Count":0}]})", false},
    {"a negative count", R"({"Spec":"x","Steps":[{"Count":-1}]})", false},
    {"a count above its bound", R"({"Spec":"x","Steps":[{"Count":1e12}]})",
     false},
    {"a count that is a string", R"({"Spec":"x","Steps":[{"Count":"2"}]})",
     false},
    {"a step that depends on itself",
     R"({"Spec":"x","Steps":[{"Count":1,"DependsOn":[0]}]})", false},
    {"a step that depends on a later one",
     R"({"Spec":"x","Steps":[{"Count":1,"DependsOn":[1]},{"Count":1}]})",
     false},
    {"a spec that is too long",
     R"({"Spec":")" + std::string(4001, 'x') + R"(","Steps":[{"Count":1}]})",
     false},
};

BOOST_AUTO_TEST_CASE(bodies_hold_a_job_or_are_rejected) {
  for (const JobCase& sample : kJobCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto job = DecodeJob(sample.body);
      BOOST_TEST(job.has_value() == sample.valid);
      if (!job) {
        BOOST_TEST(!job.error().detail.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_decoded_job_holds_every_field_of_the_body) {
  const auto job = DecodeJob(kJobCases[2].body);
  BOOST_REQUIRE(job.has_value());
  const StepSpec& step = job.value().steps[1];
  BOOST_TEST(step.count == 3U);
  BOOST_TEST(step.need.accelerators.value == 4);
  BOOST_TEST(step.need.processors.value == 1);
  BOOST_TEST(step.need.memory.value == 2);
  BOOST_TEST(step.program == "scorer");
  BOOST_TEST((step.estimate == milliseconds(5)));
  BOOST_TEST((step.depends_on == std::vector{StepIndex(0)}));
  BOOST_TEST((step.gang && step.same_rack && step.saves_progress &&
              step.speculative && step.long_running));
  BOOST_TEST(step.required_label == "a");
  BOOST_TEST(step.data_rack.value == "r1");
  BOOST_TEST(step.max_per_worker == 2U);
  BOOST_TEST(job.value().occurrences == 3U);
  BOOST_TEST((job.value().interval == milliseconds(500)));
}

// An entry of the platform's list of workers and whether it can be decoded.
struct ListingCase {
  std::string name;
  std::string text;
  bool valid;
  bool draining;
};

const std::vector<ListingCase> kListingCases = {
    {"ready",
     R"({"Service":"s","Address":"10.0.0.1:80","State":"ready",
        "Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},"Labels":["a","r1"],"Seq":4,
        "born":17})",
     true, false},
    {"draining",
     R"({"Service":"s","Address":"10.0.0.1:80","State":"draining",
        "RemainingMs":900,"Capacity":{}})",
     true, true},
    {"no address", R"({"Service":"s","State":"ready","Capacity":{}})", false,
     false},
    {"an unknown state",
     R"({"Service":"s","Address":"a","State":"asleep","Capacity":{}})", false,
     false},
    {"an address of another type",
     R"({"Service":"s","Address":7,"State":"ready","Capacity":{}})", false,
     false},
    {"bytes that are not UTF-8", "\xff\xfe", false, false},
};

BOOST_AUTO_TEST_CASE(worker_entries_decode_or_are_rejected) {
  for (const ListingCase& sample : kListingCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto listing = DecodeListing("i-1", sample.text);
      BOOST_REQUIRE(listing.has_value() == sample.valid);
      if (listing) {
        BOOST_TEST(listing.value().draining == sample.draining);
        BOOST_TEST(listing.value().id.value == "i-1");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_keeps_routes_keys_and_guarantees) {
  const auto config = DecodeConfig(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",
      "Service":"s","Priority":2,"MaxAttempts":4,"TargetDurationMs":1500,
      "Stretch":1.5,"Public":true}],"Services":[{"Name":"s",
      "EnforcesCapacity":false}],"Limits":{"MaxHeaderBytes":100,
      "MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
      "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":72}}]})");
  BOOST_REQUIRE(config.has_value());
  const WorkflowConfig& got = config.value();
  BOOST_TEST(got.version.value == 7U);
  BOOST_TEST(got.routes[0].max_attempts == 4U);
  BOOST_TEST(got.routes[0].open);
  BOOST_TEST(got.routes[0].stretch == 1.5);
  BOOST_TEST(!got.services.at(Service("s")).enforces_capacity);
  BOOST_TEST(got.limits.max_body.value == 200);
  BOOST_TEST(got.keys.at(ApiKey("k2")).value == "t");
  BOOST_TEST(got.workspaces.at(Workspace("t")).guaranteed.value == 72);
  BOOST_TEST(!DecodeConfig(R"({"Routes":[]})").has_value());
}

// A record of the operator, and the change of evacuated zones that it is.
struct EvacuationRecordCase {
  std::string name;
  KeyedValue record;
  bool is_evacuation;
  std::optional<EvacuationChange> change;
};

const std::vector<EvacuationRecordCase> kEvacuationRecordCases = {
    {"a zone", {"evacuate/z-1", "{}"}, true, {{Zone("z-1"), true}}},
    {"a zone that is taken back",
     {"evacuate/z-1", std::nullopt},
     true,
     {{Zone("z-1"), false}}},
    {"a value that is no object",
     {"evacuate/z-1", "?"},
     true,
     {{Zone("z-1"), true}}},
    {"a name with a slash",
     {"evacuate/a/b", "{}"},
     true,
     {{Zone("a/b"), true}}},
    {"a name beyond ASCII",
     {"evacuate/f\xc3\xa8s", "{}"},
     true,
     {{Zone("f\xc3\xa8s"), true}}},
    {"no zone", {"evacuate/", "{}"}, true, std::nullopt},
    {"no zone, removed", {"evacuate/", std::nullopt}, true, std::nullopt},
    {"a line break", {"evacuate/a\nb", "{}"}, true, std::nullopt},
    {"another key", {"evacuated", "{}"}, false, std::nullopt},
    {"the configuration", {"config", "{}"}, false, std::nullopt},
};

BOOST_AUTO_TEST_CASE(keys_of_the_operator_name_the_evacuated_zones) {
  for (const EvacuationRecordCase& sample : kEvacuationRecordCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      BOOST_TEST(IsEvacuationKey(sample.record.key) == sample.is_evacuation);
      if (!sample.is_evacuation) {
        continue;
      }
      const auto change = DecodeEvacuation(sample.record);
      BOOST_TEST(change.has_value() == sample.change.has_value());
      if (change && sample.change) {
        BOOST_TEST((change.value() == *sample.change));
      }
    }
  }
}

// A task name on the wire and whether it can be decoded.
struct NameCase {
  std::string text;
  bool valid;
};

const std::vector<NameCase> kNameCases = {
    {"5c0e7a21d94b36f8.0.1.17", true},    {"5c0e7a21d94b36f8.0.1", false},
    {"5c0e7a21d94b36f8.0.1.17.2", false}, {"5c0e7a21d94b36f8.0.x.17", false},
    {"5c0e7a21d94b36f8", false},          {"", false},
    {"5c0e7a21d94b36f8.0.1.-1", false},
};

BOOST_AUTO_TEST_CASE(task_names_are_read_back_as_written) {
  for (const NameCase& sample : kNameCases) {
    BOOST_TEST_CONTEXT(sample.text) {
      const auto key = DecodeTaskName(sample.text);
      BOOST_REQUIRE(key.has_value() == sample.valid);
      if (key) {
        BOOST_TEST(EncodeTaskName(*key) == sample.text);
      }
    }
  }
}

// A worker's answer to an order and the outcome and reports it decodes to.
struct OrderCase {
  std::string name;
  int status;
  std::string body;
  OrderOutcome outcome;
  std::size_t running;
  std::size_t ended;
};

const std::vector<OrderCase> kOrderCases = {
    {"a hold with both lists", 200,
     R"({"ClockMs":5,"born":9,"Running":[["a.0.0.1",2,"",41,300]],
        "Finished":[[58,"a.0.0.2",1,"done",""],[59,"a.0.0.3",1,"lapsed","c"]]})",
     OrderOutcome::kDone, 1, 2},
    {"an end of an unknown kind", 200,
     R"({"ClockMs":5,"Running":[],"Finished":[[1,"a.0.0.2",1,"odd",""]]})",
     OrderOutcome::kDone, 0, 1},
    {"lists that cannot be decoded are rejected", 200,
     R"({"ClockMs":5,"Running":[["a.0.0.1"]],"Finished":[]})",
     OrderOutcome::kRejected, 0, 0},
    {"a body that is not JSON", 200, "{", OrderOutcome::kRejected, 0, 0},
    {"a lower fence", 409, R"({"ClockMs":5,"Reason":"fence"})",
     OrderOutcome::kFenced, 0, 0},
    {"an old run", 409, R"({"Reason":"old"})", OrderOutcome::kOldRun, 0, 0},
    {"too late", 409, R"({"Reason":"late"})", OrderOutcome::kTooLate, 0, 0},
    {"no free capacity", 409, R"({"Reason":"room"})", OrderOutcome::kNoCapacity,
     0, 0},
    {"another incarnation", 421, "", OrderOutcome::kOtherIncarnation, 0, 0},
    {"unhealthy", 503, "", OrderOutcome::kUnhealthy, 0, 0},
    {"busy", 429, "", OrderOutcome::kUnhealthy, 0, 0},
    {"malformed", 400, "", OrderOutcome::kRejected, 0, 0},
};

BOOST_AUTO_TEST_CASE(worker_answers_decode_to_outcomes) {
  for (const OrderCase& sample : kOrderCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      OrderResult ended{.kind = OrderKind::kHold};
      DecodeOrderAnswer(sample.status, sample.body, ended);
      BOOST_TEST((ended.outcome == sample.outcome));
      BOOST_TEST(ended.running.size() == sample.running);
      BOOST_TEST(ended.ended.size() == sample.ended);
    }
  }
}

// The store's answer to an append and the outcome it decodes to.
struct AppendCase {
  std::string name;
  int status;
  std::string body;
  AppendOutcome outcome;
};

const std::vector<AppendCase> kAppendCases = {
    {"written", 200, R"({"Offset":3,"End":4})", AppendOutcome::kWritten},
    {"fenced", 409, R"({"Reason":"fenced"})", AppendOutcome::kFenced},
    {"out of sequence", 409, R"({"Reason":"seq","Seq":5})",
     AppendOutcome::kOutOfSequence},
    {"down", 503, "", AppendOutcome::kRejected},
    {"over the rate limit", 429, "", AppendOutcome::kRejected},
    {"full", 507, "", AppendOutcome::kRejected},
    {"an undocumented status", 500, "", AppendOutcome::kUnknown},
};

BOOST_AUTO_TEST_CASE(append_answers_decode_to_outcomes) {
  for (const AppendCase& sample : kAppendCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      JournalAppended appended;
      DecodeAppendAnswer(sample.status, sample.body, appended);
      BOOST_TEST((appended.outcome == sample.outcome));
    }
  }
}

std::string Text(std::initializer_list<char> bytes) {
  return std::string(bytes);
}

std::string Page(std::uint64_t end, const std::string& records) {
  std::string page;
  for (const std::uint64_t number : {end, std::uint64_t{0}}) {
    for (int shift = 56; shift >= 0; shift -= 8) {
      page.push_back(static_cast<char>((number >> shift) & 0xff));
    }
  }
  return page + records;
}

BOOST_AUTO_TEST_CASE(records_are_read_back_as_written) {
  const std::vector<KeyedValue> records = {
      {"a", "value"}, {"gone", std::nullopt}, {"b", Text({0, 'x'})}};
  const auto page = DecodeLogPage(Page(9, EncodeLogRecords(records)));
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page.value().end.value == 9U);
  BOOST_TEST((page.value().records == records));
}

// A log page, whether it can be decoded, and the number of its records.
struct PageCase {
  std::string name;
  std::string body;
  bool valid;
  std::size_t records;
};

const std::vector<PageCase> kPageCases = {
    {"no records", Page(3, ""), true, 0},
    {"no offsets", "short", false, 0},
    {"a record that is cut off", Page(3, Text({0, 0, 0, 5, 'a', 'b'})), false,
     0},
    {"a key longer than its record occupies its offset",
     Page(3, Text({0, 0, 0, 2, 5, 'a'})), true, 1},
};

BOOST_AUTO_TEST_CASE(malformed_log_pages_are_decoded_or_rejected) {
  for (const PageCase& sample : kPageCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto page = DecodeLogPage(sample.body);
      BOOST_REQUIRE(page.has_value() == sample.valid);
      if (page) {
        BOOST_TEST(page.value().records.size() == sample.records);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded) {
  const auto page = DecodeNewestPage(
      R"({"items":[{"Key":"k","Value":"aGVsbG8=","Offset":4}],"HasMore":true,
      "End":6})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page.value().has_more);
  BOOST_TEST(page.value().end.value == 6U);
  BOOST_TEST(page.value().records[0].second.value.value() == "hello");
}

// A caller's request and the kind of call it decodes to, if any.
struct CallCase {
  std::string name;
  ServedRequest request;
  std::optional<CallKind> kind;
};

const std::vector<CallCase> kCallCases = {
    {"a submission",
     {.method = "POST", .path = "/p/1", .body = "{}"},
     CallKind::kSubmit},
    {"a state", {.method = "GET", .path = "/p/1"}, CallKind::kGet},
    {"a count", {.method = "GET", .path = "/p/"}, CallKind::kCount},
    {"a cancel", {.method = "DELETE", .path = "/p/1"}, CallKind::kCancel},
    {"another method", {.method = "PUT", .path = "/p/1"}, std::nullopt},
};

BOOST_AUTO_TEST_CASE(requests_decode_to_calls) {
  for (const CallCase& sample : kCallCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      ServedRequest request = sample.request;
      request.headers = {{"host", "h"},
                         {"authorization", "Token k"},
                         {"x-deadline-ms", "1200"}};
      const auto call = DecodeCall(request, ExchangeId(4));
      BOOST_REQUIRE(call.has_value() == sample.kind.has_value());
      if (call) {
        BOOST_TEST((call->kind == *sample.kind));
        BOOST_TEST(call->key.value == "k");
        BOOST_TEST((call->caller_timeout == milliseconds(1200)));
      }
    }
  }
}

// The result of a call and the HTTP status that its caller receives.
struct StatusCase {
  CallResult result;
  int status;
};

const std::vector<StatusCase> kStatusCases = {
    {CallResult::kOk, 200},           {CallResult::kMalformed, 400},
    {CallResult::kUnauthorised, 401}, {CallResult::kNoRoute, 404},
    {CallResult::kNoWorkflow, 410},   {CallResult::kRefused, 503},
    {CallResult::kUnknown, 504},
};

BOOST_AUTO_TEST_CASE(call_results_map_to_http_statuses) {
  for (const StatusCase& sample : kStatusCases) {
    const ServedResponse response = EncodeCallAnswer(
        CallAnswer{.result = sample.result,
                   .retry_after = sample.result == CallResult::kRefused
                                      ? Duration(milliseconds(300))
                                      : Duration()});
    BOOST_TEST(response.status == sample.status);
    BOOST_TEST(response.headers.empty() ==
               (sample.result != CallResult::kRefused));
  }
}

const std::string kSettings = R"(
Node = "edge-1"
Ip = "10.1.0.19"
Zone = "z"
InternalPortRange = [7000, 7015]
[Listen]
Front = "10.1.0.19:8521"
Ready = "10.1.0.19:8523"
[Bounds]
MaxHoldMs = 3000
RevokeMs = 5000.0
GraceS = 6
status_s = 1.5
[platform]
Address = "10.200.1.7:8524"
)";

// A settings file and whether it can be parsed.
struct SettingsCase {
  std::string name;
  std::string text;
  bool valid;
};

const std::vector<SettingsCase> kSettingsCases = {
    {"as on the platform", kSettings, true},
    {"with unknown fields", "Fresh = [1]\n" + kSettings, true},
    {"not TOML", "Node = = 1", false},
    {"without a store", "Node = \"a\"\n[Listen]\nFront = \"1.2.3.4:5\"", false},
    {"empty", "", false},
    {"a byte order mark", "\xef\xbb\xbf" + kSettings, true},
    {"a comment that is not ASCII", "# caf\xc3\xa9 \"\n" + kSettings, true},
    {"strings that are not ASCII",
     "A = \"\\\"\xc3\xa9\"\nB = '\xc3\xa9'\nC = \"\"\"\n\xc3\xa9\"\"\"\n" +
         kSettings,
     true},
    {"a key that is not ASCII", "caf\xc3\xa9 = 1\n" + kSettings, false},
    {"bytes that toml++ 3.3.0 does not survive", "\xef\xb8\xbf{\"<i", false},
    {"a string that is not closed", "A = \"\xc3\xa9", false},
};

BOOST_AUTO_TEST_CASE(settings_are_parsed_or_report_the_error) {
  for (const SettingsCase& sample : kSettingsCases) {
    BOOST_TEST_CONTEXT(sample.name) {
      const auto settings = ParseSettings(sample.text);
      BOOST_REQUIRE(settings.has_value() == sample.valid);
      if (!settings) {
        BOOST_TEST(!settings.error().detail.empty());
      }
    }
  }
  const auto settings = ParseSettings(kSettings);
  BOOST_TEST((settings.value().self.lease == milliseconds(3000)));
  BOOST_TEST((settings.value().self.status_retention == milliseconds(1500)));
  BOOST_TEST(settings.value().inspection.value == "10.1.0.19:7000");
  BOOST_TEST(ParseSettings("\n\nNode = = 1").error().line == 3U);
}

}  // namespace
}  // namespace chicorystep::platform
