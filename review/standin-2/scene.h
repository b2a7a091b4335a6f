#ifndef REVIEW_STANDIN_2_SCENE_H_
#define REVIEW_STANDIN_2_SCENE_H_

// Stand-ins of the users' platform for the cases of the second review: the
// store, executors, and clients, in one process with blocking threads. Each
// case starts `chicorystep-edge` as separate processes against them.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

// Milliseconds since the program started.
inline std::int64_t NowMs() {
  static const Steady::time_point start = Steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                               start)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

// The file of what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) {
    this->file.open(path, std::ios::trunc);
    if (!this->file) {
      throw std::runtime_error(path + " cannot be written");
    }
  }
  void Note(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    this->file << NowMs() << " ms  " << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

inline Record& TheRecord() {
  static Record record;
  return record;
}

inline void Note(const std::string& text) {
  TheRecord().Note(text);
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

inline std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

// Receives more bytes into `buffer`; false at the end or after an error.
inline bool Receive(int fd, std::string& buffer) {
  char chunk[65536];
  const ssize_t size = ::recv(fd, chunk, sizeof chunk, 0);
  if (size <= 0) {
    return false;
  }
  buffer.append(chunk, static_cast<std::size_t>(size));
  return true;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

// Reads one message into `head` and `body`; `buffer` keeps what follows it.
inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::string& head,
                        std::string& body) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(fd, buffer)) {
      return false;
    }
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  std::size_t length = 0;
  if (const auto at = lower.find("\r\ncontent-length:");
      at != std::string::npos) {
    length = std::stoul(lower.substr(at + 17));
  }
  while (buffer.size() < length) {
    if (!Receive(fd, buffer)) {
      return false;
    }
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline Request ParseRequest(const std::string& head, std::string body) {
  Request request;
  request.body = std::move(body);
  const std::size_t first = head.find(' ');
  const std::size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  const std::string target = head.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
      const std::string_view field = rest.substr(0, rest.find('&'));
      rest.remove_prefix(std::min(rest.size(), field.size() + 1));
      const std::size_t equals = field.find('=');
      if (equals != std::string_view::npos) {
        request.query[std::string(field.substr(0, equals))] =
            Decode(field.substr(equals + 1));
      }
    }
  }
  std::size_t line = head.find("\r\n") + 2;
  while (line < head.size()) {
    const std::size_t end = head.find("\r\n", line);
    const std::size_t colon = head.find(':', line);
    if (colon != std::string::npos && colon < end) {
      std::string name = head.substr(line, colon - line);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::size_t begin = colon + 1;
      while (begin < end && head[begin] == ' ') {
        ++begin;
      }
      request.headers[name] = head.substr(begin, end - begin);
    }
    line = end + 2;
  }
  return request;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// An HTTP server on a free loopback port, with a thread for each connection.
class Server {
 public:
  // Returns nothing for a call that is never answered.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler request_handler)
      : handler(std::move(request_handler)),
        listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) !=
            0 ||
        ::listen(this->listener, 512) != 0 ||
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                      &size) != 0) {
      throw std::runtime_error("no free port");
    }
    this->port = ntohs(address.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // While set, no byte passes in either direction; what was sent meanwhile
  // arrives afterwards unless its sender has closed the connection.
  std::atomic<bool> cut = false;
  // How long a message takes in one direction.
  std::atomic<int> one_way_ms = 0;
  int port = 0;

 private:
  void Accept() {
    for (;;) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { this->Serve(fd); }).detach();
    }
  }

  void AwaitLink() const {
    while (this->cut) {
      SleepMs(5);
    }
  }

  // Whether the peer has closed or reset the connection.
  static bool IsClosed(int fd) {
    pollfd state{.fd = fd, .events = POLLRDHUP, .revents = 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  void Serve(int fd) {
    std::string buffer;
    std::string head;
    std::string body;
    while (ReadMessage(fd, buffer, head, body)) {
      SleepMs(this->one_way_ms);
      if (this->cut) {
        this->AwaitLink();
        if (IsClosed(fd)) {
          break;
        }
      }
      const auto response = this->handler(ParseRequest(head, body));
      if (!response) {
        while (!IsClosed(fd)) {
          SleepMs(20);
        }
        break;
      }
      SleepMs(this->one_way_ms);
      this->AwaitLink();
      const std::string text =
          "HTTP/1.1 " + std::to_string(response->status) +
          " Status\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!SendAll(fd, text)) {
        break;
      }
    }
    ::close(fd);
  }

  Handler handler;
  int listener;
};

// The answer to a client's call; status 0 if there was none.
struct Reply {
  int status = 0;
  std::string body;
};

inline Reply Call(int port,
                  const std::string& method,
                  const std::string& target,
                  const std::vector<std::string>& headers,
                  const std::string& body = "",
                  int timeout_ms = 3000) {
  Reply reply;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval wait{.tv_sec = timeout_ms / 1000,
                     .tv_usec = timeout_ms % 1000 * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  const sockaddr_in address = Loopback(port);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const std::string& header : headers) {
    text += header + "\r\n";
  }
  if (method != "GET") {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  std::string buffer;
  std::string head;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0 &&
      SendAll(fd, text) && ReadMessage(fd, buffer, head, reply.body)) {
    reply.status = std::stoi(head.substr(head.find(' ') + 1, 3));
  }
  ::close(fd);
  return reply;
}

inline std::string ToBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 0xff);
  }
  return text;
}

// The platform's store: topics with one partition that only grow.
class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  static constexpr int kAppendMs = 4;

  Store()
      : server(
            [this](const Request& request) { return this->Serve(request); }) {}

  // Writes a record of the operator or of an executor.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::scoped_lock lock(this->mutex);
    Append(this->topics[topic], static_cast<char>(key.size()) + key + value);
    this->changed.notify_all();
  }

  // Appends that were rejected because they exceed a limit of the store.
  std::atomic<int> oversized = 0;
  Server server;

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool has_producer = false;
    // The last five appends of the producer and their answers.
    std::deque<std::pair<std::uint64_t, std::string>> answers;
    std::mutex appending;
  };

  static void Append(Topic& topic, std::string record) {
    const auto length = static_cast<unsigned char>(record.at(0));
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(1U + length);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {topic.records.size(), value};
    }
    topic.records.push_back(std::move(record));
  }

  std::optional<Response> Serve(const Request& request) {
    const auto field = [&](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    const auto number = [&](const char* name, std::uint64_t fallback) {
      const std::string text = field(name);
      return text.empty() ? fallback : std::stoull(text);
    };
    if (request.path == "/chicorystep/log-append") {
      return this->ServeAppend(request, field("Topic"),
                               !field("Producer").empty(), number("epoch", 0),
                               number("Seq", 0));
    }
    if (request.path == "/chicorystep/log-read") {
      return this->ServeRead(field("Topic"), number("From", 0),
                             1024 * number("MaxKb", 1024),
                             static_cast<std::int64_t>(number("WaitMs", 0)));
    }
    if (request.path == "/chicorystep/log-newest") {
      return this->ServeNewest(field("Topic"), field("DependsOn"));
    }
    return Response{.status = 404};
  }

  Response ServeAppend(const Request& request,
                       const std::string& name,
                       bool has_producer,
                       std::uint64_t epoch,
                       std::uint64_t sequence) {
    if (name == "keyed.op" || name == "keyed.servers") {
      return Response{.status = 403};
    }
    std::vector<std::string> records;
    std::size_t total = 0;
    bool fits = true;
    for (std::string_view rest = request.body; rest.size() >= 4;) {
      std::uint32_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(rest[i]);
      }
      records.emplace_back(rest.substr(4, length));
      rest.remove_prefix(std::min<std::size_t>(rest.size(), 4UL + length));
      total += length;
      fits = fits && length <= kRecordBytes;
    }
    Topic* topic = nullptr;
    {
      const std::scoped_lock lock(this->mutex);
      topic = &this->topics[name];
    }
    // A partition processes its appends one at a time.
    const std::scoped_lock one(topic->appending);
    SleepMs(kAppendMs);
    const std::scoped_lock lock(this->mutex);
    if (!fits || total > kCallBytes) {
      if (this->oversized++ == 0) {
        Note("store: an append of " + std::to_string(total) +
             " bytes in total is over its limit, answered 400");
      }
      return Response{.status = 400};
    }
    if (has_producer) {
      if (topic->has_producer && epoch < topic->epoch) {
        return Response{.status = 409, .body = R"({"Reason":"fenced"})"};
      }
      const bool newer = !topic->has_producer || epoch > topic->epoch;
      if (!newer) {
        for (const auto& [earlier, answer] : topic->answers) {
          if (earlier == sequence) {
            return Response{.body = answer};
          }
        }
        if (sequence != topic->sequence + 1) {
          return Response{
              .status = 409,
              .body =
                  Json{{"Reason", "seq"}, {"Seq", topic->sequence + 1}}.dump()};
        }
      } else {
        topic->answers.clear();
      }
      topic->has_producer = true;
      topic->epoch = epoch;
      topic->sequence = sequence;
    }
    const std::uint64_t first = topic->records.size();
    for (std::string& record : records) {
      Append(*topic, std::move(record));
    }
    const std::string answer =
        Json{{"Offset", first}, {"End", topic->records.size()}}.dump();
    if (has_producer) {
      topic->answers.emplace_back(sequence, answer);
      if (topic->answers.size() > 5) {
        topic->answers.pop_front();
      }
    }
    this->changed.notify_all();
    return Response{.body = answer};
  }

  Response ServeRead(const std::string& name,
                     std::uint64_t from,
                     std::size_t max_bytes,
                     std::int64_t wait_ms) {
    std::unique_lock lock(this->mutex);
    Topic& topic = this->topics[name];
    this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                           [&] { return topic.records.size() > from; });
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (std::uint64_t at = from; at < topic.records.size(); ++at) {
      const std::string& record = topic.records[at];
      if (at > from && body.size() + record.size() > max_bytes) {
        break;
      }
      body += BigEndian(record.size(), 4) + record;
    }
    return Response{.body = std::move(body)};
  }

  Response ServeNewest(const std::string& name, const std::string& after) {
    constexpr std::size_t kMaxItems = 500;
    constexpr std::size_t kMaxBytes = 1'000'000;
    const std::scoped_lock lock(this->mutex);
    const Topic& topic = this->topics[name];
    Json items = Json::array();
    std::size_t bytes = 0;
    auto at = topic.newest.upper_bound(after);
    for (; at != topic.newest.end() && items.size() < kMaxItems &&
           bytes < kMaxBytes;
         ++at) {
      items.push_back({{"Key", at->first},
                       {"Value", ToBase64(at->second.second)},
                       {"Offset", at->second.first}});
      bytes += at->second.second.size();
    }
    return Response{.body = Json{{"items", std::move(items)},
                                 {"HasMore", at != topic.newest.end()},
                                 {"End", topic.records.size()}}
                                .dump()};
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
};

struct Need {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
  std::int64_t gpu = 0;
};

// What a task does on an executor.
struct TaskPlan {
  Need need;
  std::int64_t work_ms = 1000;
  // The processors that it uses while it works, in thousandths.
  std::int64_t cpu_in_use = 0;
  // Members of its gang, all on one executor; 0 for a task that works alone.
  std::size_t gang_size = 0;
};

// What executors have seen, for the checks.
struct Seen {
  enum class Kind : std::uint8_t { kStart, kEnd, kAcknowledged, kLapsed };
  Kind kind = Kind::kStart;
  std::int64_t at = 0;
  std::string worker;
  std::string task;
  std::uint64_t run = 0;
  // How the run ended, and the number of the end.
  std::string how;
  std::uint64_t number = 0;
};

class Sightings {
 public:
  void Add(Seen seen) {
    const std::scoped_lock lock(this->mutex);
    seen.at = NowMs();
    this->rows.push_back(std::move(seen));
  }
  std::vector<Seen> All() {
    const std::scoped_lock lock(this->mutex);
    return this->rows;
  }

 private:
  std::mutex mutex;
  std::vector<Seen> rows;
};

inline Sightings& TheSightings() {
  static Sightings sightings;
  return sightings;
}

// One executor. It guards its capacity.
class Worker {
 public:
  static constexpr std::int64_t kMaxHoldMs = 10'000;
  static constexpr std::int64_t kStopMs = 100;
  static constexpr std::int64_t kGangTimeoutMs = 3000;
  static constexpr std::size_t kMaxListedEnds = 500;

  Worker(std::string name,
         std::string kind,
         Need room,
         std::function<TaskPlan(const std::string&)> plans)
      : id(std::move(name)),
        label(std::move(kind)),
        capacity(room),
        plan(std::move(plans)),
        born(UnixMs()),
        server(
            [this](const Request& request) { return this->Serve(request); }) {
    std::thread([this] {
      for (;;) {
        this->Step();
        SleepMs(5);
      }
    }).detach();
  }

  // Answers starts with 503 and does nothing for them, as an executor that
  // considers itself unhealthy.
  std::atomic<bool> unhealthy = false;

  std::string Entry() {
    return Json{{"Service", "svc"},
                {"Address", "127.0.0.1:" + std::to_string(this->server.port)},
                {"Zone", "z1"},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"Capacity",
                 {{"Cpu", this->capacity.cpu},
                  {"MemMb", this->capacity.mem_mb},
                  {"Gpu", this->capacity.gpu}}},
                {"Labels", {this->label, "r1"}},
                {"ClockMs", this->ClockMs()},
                {"Seq", ++this->sequence},
                {"born", this->born}}
        .dump();
  }

  std::size_t RunningCount() {
    const std::scoped_lock lock(this->mutex);
    return this->running.size();
  }

  const std::string id;

 private:
  struct Run {
    std::uint64_t run = 0;
    TaskPlan plan;
    std::int64_t present_since = 0;
    // Set when the work begins.
    std::int64_t ends_at = -1;
    std::int64_t stops_at = -1;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  [[nodiscard]] std::int64_t ClockMs() const {
    return UnixMs() - this->born + 1000;
  }

  void EndRun(const std::string& task, const std::string& how) {
    const std::uint64_t run = this->running.at(task).run;
    this->running.erase(task);
    this->barred[task] = std::max(this->barred[task], run);
    this->ended.push_back(End{++this->last_end, task, run, how});
    TheSightings().Add(Seen{.kind = Seen::Kind::kEnd,
                            .worker = this->id,
                            .task = task,
                            .run = run,
                            .how = how,
                            .number = this->last_end});
    Note(this->id + ": " + task + " run " + std::to_string(run) + " ended " +
         how + ", end " + std::to_string(this->last_end));
    this->changed.notify_all();
  }

  void Step() {
    const std::scoped_lock lock(this->mutex);
    const std::int64_t now = NowMs();
    const bool leased = this->ClockMs() <= this->lease_until;
    if (this->had_lease && !leased) {
      TheSightings().Add(Seen{.kind = Seen::Kind::kLapsed, .worker = this->id});
      Note(this->id + ": its lease is over, " +
           std::to_string(this->running.size()) + " tasks run");
    }
    this->had_lease = leased;
    const auto present = this->running;
    for (const auto& [task, run] : present) {
      if (!this->running.contains(task)) {
        continue;
      }
      if (!leased) {
        this->EndRun(task, "lapsed");
      } else if (run.ends_at >= 0 && now >= run.ends_at) {
        this->EndRun(task, "done");
      } else if (run.stops_at >= 0 && now >= run.stops_at) {
        this->EndRun(task, "stopped");
        this->BreakGang(task, run);
      } else if (run.ends_at < 0 && now >= run.present_since + kGangTimeoutMs) {
        this->EndRun(task, "alone");
      }
    }
  }

  // The gang of a task: its name without the index.
  static std::string GangOf(const std::string& task) {
    return task.substr(0, task.rfind('.'));
  }

  // Ends the other members of a run of which one has ended at work.
  void BreakGang(const std::string& task, const Run& ended_run) {
    if (ended_run.plan.gang_size == 0 || ended_run.ends_at < 0) {
      return;
    }
    const auto present = this->running;
    for (const auto& [other, run] : present) {
      if (run.run == ended_run.run && GangOf(other) == GangOf(task)) {
        this->EndRun(other, "broken");
      }
    }
  }

  // Begins the work of a gang of which all members are present.
  void BeginGang(const std::string& task, const Run& newest) {
    std::vector<Run*> members;
    for (auto& [other, run] : this->running) {
      if (run.run == newest.run && GangOf(other) == GangOf(task)) {
        members.push_back(&run);
      }
    }
    if (members.size() == newest.plan.gang_size) {
      for (Run* member : members) {
        member->ends_at = NowMs() + member->plan.work_ms;
      }
    }
  }

  Response Rejected(const char* reason) const {
    return Response{
        .status = 409,
        .body = Json{{"ClockMs", this->ClockMs()}, {"Reason", reason}}.dump()};
  }

  std::optional<Response> Serve(const Request& request) {
    if (request.path == "/healthz") {
      return Response{};
    }
    if (const auto expected = request.headers.find("x-expect-instance");
        expected != request.headers.end() && expected->second != this->id) {
      return Response{.status = 421};
    }
    const Json json = Json::parse(request.body);
    std::unique_lock lock(this->mutex);
    if (request.path == "/chicorystep/run-start" && this->unhealthy) {
      Note(this->id + ": start of " + json.at("Task").get<std::string>() +
           " answered 503, not done");
      return Response{.status = 503};
    }
    const auto fence = json.value("Fence", std::uint64_t{0});
    if (fence < this->fence) {
      return this->Rejected("fence");
    }
    this->fence = fence;
    if (json.contains("UntilMs")) {
      this->lease_until = std::max(
          this->lease_until, std::min(json.at("UntilMs").get<std::int64_t>(),
                                      this->ClockMs() + kMaxHoldMs));
    }
    if (request.path == "/chicorystep/run-start") {
      return this->Start(json);
    }
    if (request.path == "/chicorystep/run-stop") {
      const auto task = json.at("Task").get<std::string>();
      const auto run = json.at("Run").get<std::uint64_t>();
      this->barred[task] = std::max(this->barred[task], run);
      if (const auto found = this->running.find(task);
          found != this->running.end() && found->second.run <= run &&
          found->second.stops_at < 0) {
        found->second.stops_at = NowMs() + kStopMs;
      }
      Note(this->id + ": stop of " + task + " run " + std::to_string(run));
      return Response{.body = Json{{"ClockMs", this->ClockMs()}}.dump()};
    }
    return this->Hold(json, lock);
  }

  Response Start(const Json& json) {
    const auto task = json.at("Task").get<std::string>();
    const auto run = json.at("Run").get<std::uint64_t>();
    const Response done{.body = Json{{"ClockMs", this->ClockMs()}}.dump()};
    if (const auto found = this->running.find(task);
        found != this->running.end()) {
      return found->second.run == run ? done : this->Rejected("old");
    }
    if (this->barred.contains(task) && run <= this->barred.at(task)) {
      return this->Rejected("old");
    }
    if (json.value("UntilMs", std::int64_t{0}) <= this->ClockMs()) {
      return this->Rejected("late");
    }
    const TaskPlan work = this->plan(task);
    Need used = work.need;
    for (const auto& [other, present] : this->running) {
      used.cpu += present.plan.need.cpu;
      used.mem_mb += present.plan.need.mem_mb;
      used.gpu += present.plan.need.gpu;
    }
    if (used.cpu > this->capacity.cpu || used.mem_mb > this->capacity.mem_mb ||
        used.gpu > this->capacity.gpu) {
      return this->Rejected("room");
    }
    Run& started = this->running[task];
    started = Run{.run = run, .plan = work, .present_since = NowMs()};
    if (work.gang_size == 0) {
      started.ends_at = NowMs() + work.work_ms;
    } else {
      this->BeginGang(task, started);
    }
    TheSightings().Add(Seen{.kind = Seen::Kind::kStart,
                            .worker = this->id,
                            .task = task,
                            .run = run});
    Note(this->id + ": " + task + " run " + std::to_string(run) + " starts");
    return done;
  }

  Response Hold(const Json& json, std::unique_lock<std::mutex>& lock) {
    const auto cursor = json.value("AckCursor", std::uint64_t{0});
    while (!this->ended.empty() && this->ended.front().number <= cursor) {
      const End& end = this->ended.front();
      TheSightings().Add(Seen{.kind = Seen::Kind::kAcknowledged,
                              .worker = this->id,
                              .task = end.task,
                              .run = end.run,
                              .how = end.how,
                              .number = end.number});
      this->ended.pop_front();
    }
    this->changed.wait_for(lock,
                           std::chrono::milliseconds(std::min<std::int64_t>(
                               2000, json.value("WaitMs", 0))),
                           [&] { return !this->ended.empty(); });
    Json rows = Json::array();
    for (const auto& [task, run] : this->running) {
      rows.push_back({task, run.run, "", 50, run.plan.cpu_in_use});
    }
    Json ends = Json::array();
    for (const End& end : this->ended) {
      if (ends.size() == kMaxListedEnds) {
        break;
      }
      ends.push_back({end.number, end.task, end.run, end.how, ""});
    }
    if (!ends.empty()) {
      Note(this->id + ": a hold is answered with " +
           std::to_string(rows.size()) + " runs and " +
           std::to_string(ends.size()) + " of " +
           std::to_string(this->ended.size()) + " ends");
    }
    return Response{.body = Json{{"ClockMs", this->ClockMs()},
                                 {"born", this->born},
                                 {"Running", std::move(rows)},
                                 {"Finished", std::move(ends)}}
                                .dump()};
  }

  std::string label;
  Need capacity;
  std::function<TaskPlan(const std::string&)> plan;
  std::int64_t born;
  std::atomic<int> sequence = 0;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;
  bool had_lease = false;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> barred;
  std::deque<End> ended;
  std::uint64_t last_end = 0;

 public:
  Server server;
};

// Returns a port that nothing listens on, below those that the system gives to
// outgoing connections.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    const int port = 20'000 + static_cast<int>(random() % 12'000);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                                sizeof address) == 0;
    ::close(fd);
    if (is_free) {
      return port;
    }
  }
}

// One process of the system.
class Edge {
 public:
  Edge(const std::string& folder, int number, int store_port)
      : front(FreePort()), ready(FreePort()) {
    const std::string name = "edge-z1-" + std::to_string(number);
    this->settings = folder + "/" + name + ".toml";
    this->log = folder + "/" + name + ".log";
    const auto at = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    const int control = FreePort();
    const int internal = FreePort();
    std::ofstream(this->settings)
        << "Node = \"" << name << "\"\nRole = \"entry\"\n"
        << "MachineClass = \"edge\"\nServes = [\"edge\",\"control_plane\"]\n"
        << "Ip = \"127.0.0.1\"\nZone = \"z1\"\nRegion = \"r\"\n"
        << "InternalPortRange = [" << internal << "," << internal << "]\n"
        << "Seeds = []\nBootstrap = true\nDiscovery = \"platform\"\n"
        << "Entry = \"vip\"\nHeartbeatMs = 1500\nOrders = \"dispatch\"\n"
        << "[Zones]\nz1 = \"r\"\n"
        << "[Listen]\nFront = " << at(this->front)
        << "\nReady = " << at(this->ready) << "\nControl = " << at(control)
        << "\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\n"
        << "MaxFds = 4100\n"
        << "[Bounds]\nContactMs = 4000\nAckMs = 5000\nDrainMs = 3000\n"
        << "GraceS = 6\nConfigApplyMs = 3000\nMaxSkewMs = 6000\n"
        << "StrictRevoke = true\nRevokeMs = 5000\nRecoveryS = 12\n"
        << "MaxHoldMs = 10000\nStopGraceMs = 900\nGangTimeoutMs = 3000\n"
        << "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
        << "finish_s = 14\nstatus_s = 120\nRemoteFactor = 3\n"
        << "CheckpointIntervalS = 2\nRestoreMs = 100\n"
        << "[platform]\nAddress = " << at(store_port)
        << "\nform = \"log\"\nWritesPerS = 800\nReadsPerS = 2000\nparts = 8\n"
        << "AppendMs = 4.0\nRecordBytes = 262144\nCallBytes = 2097152\n"
        << "keep_s = 300\nPartMb = 200\n";
  }

  void Start() {
    this->process = ::fork();
    if (this->process == 0) {
      // The process ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(this->log.c_str(),
                             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string variable = "CHICORYSTEP_NODE_FILE=" + this->settings;
      std::string program = "target/bin/chicorystep-edge";
      char* arguments[] = {program.data(), nullptr};
      std::string text = variable;
      char* environment[] = {text.data(), nullptr};
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
  }

  void Signal(int number) const {
    if (this->process > 0) {
      ::kill(this->process, number);
    }
  }

  // Whether the process still runs.
  bool IsAlive() {
    if (this->process > 0 &&
        ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
      this->process = -1;
    }
    return this->process > 0;
  }

  void Kill() {
    if (this->process > 0) {
      ::kill(this->process, SIGKILL);
      ::kill(this->process, SIGCONT);
      ::waitpid(this->process, nullptr, 0);
      this->process = -1;
    }
  }

  int front;
  int ready;
  std::string log;

 private:
  std::string settings;
  pid_t process = -1;
};

struct Queue {
  std::string name;
  std::string prefix;
  int priority = 1;
  int max_attempts = 3;
};

// A small deployment: the store, executors and entries.
class Scene {
 public:
  static constexpr const char* kHost = "jobs.example";
  static constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

  Scene() {
    char path[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(path) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    this->folder = path;
  }
  Scene(const Scene&) = delete;
  Scene& operator=(const Scene&) = delete;

  void Configure(const std::vector<Queue>& queues) {
    Json routes = Json::array();
    for (const Queue& queue : queues) {
      routes.push_back({{"Name", queue.name},
                        {"Host", kHost},
                        {"PathPrefix", queue.prefix},
                        {"Kind", "non_idempotent"},
                        {"TimeoutMs", 3000},
                        {"TargetDurationMs", 3000},
                        {"Priority", queue.priority},
                        {"Service", "svc"},
                        {"MaxAttempts", queue.max_attempts},
                        {"Stretch", 3.0},
                        {"Public", false}});
    }
    const Json config = {{"Version", 7},
                         {"Routes", routes},
                         {"Services",
                          {{{"Name", "svc"},
                            {"HealthPath", "/healthz"},
                            {"MaxConns", 64},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"EnforcesCapacity", true},
                            {"Standby", false}}}},
                         {"Limits",
                          {{"MaxHeaderBytes", 16384},
                           {"MaxBodyBytes", 262144},
                           {"HeaderTimeoutMs", 3000},
                           {"IdleTimeoutMs", 15000}}},
                         {"Tenants",
                          {{{"Name", "tenant"},
                            {"ApiKeys", {kKey}},
                            {"Priority", 1},
                            {"Guaranteed", {{"Gpu", 8}}}}}}};
    this->store.Put("keyed.op", "config", config.dump());
  }

  Worker& AddWorker(const std::string& id,
                    const std::string& label,
                    Need room,
                    std::function<TaskPlan(const std::string&)> plans) {
    return *this->workers.emplace_back(
        std::make_unique<Worker>(id, label, room, std::move(plans)));
  }

  // Lists the executors, starts the entries and waits until all are ready.
  void Start(int entries) {
    std::thread([this] {
      for (;;) {
        for (const auto& worker : this->workers) {
          this->store.Put("keyed.servers", worker->id, worker->Entry());
        }
        SleepMs(1500);
      }
    }).detach();
    SleepMs(100);
    for (int i = 1; i <= entries; ++i) {
      this->edges.push_back(
          std::make_unique<Edge>(this->folder, i, this->store.server.port));
      this->edges.back()->Start();
    }
    const std::int64_t until = NowMs() + 15'000;
    for (const auto& edge : this->edges) {
      while (::review::Call(edge->ready, "GET", "/chicorystep/readyz",
                            {"Host: ready"})
                 .status != 200) {
        if (NowMs() > until) {
          throw std::runtime_error("an entry did not get ready");
        }
        SleepMs(50);
      }
    }
    // The first holder reads its executors.
    SleepMs(3000);
    Note("all entries are ready");
  }

  Reply Ask(std::size_t edge,
            const std::string& method,
            const std::string& path,
            const std::string& body = "") {
    Reply reply = ::review::Call(
        this->edges.at(edge)->front, method, path,
        {std::string("Host: ") + kHost,
         std::string("Authorization: Token ") + kKey, "X-Deadline-Ms: 3000"},
        body);
    Note("client: " + method + " " + path + " at entry " +
         std::to_string(edge + 1) + " -> " + std::to_string(reply.status) +
         " " + reply.body.substr(0, 80) +
         (body.empty() ? "" : "  (sent: " + body.substr(0, 300) + ")"));
    return reply;
  }

  // Hands in a job, with retries as a client. Returns whether it was accepted.
  bool TrySubmit(const std::string& path, const Json& job) {
    for (std::size_t i = 0; i < 6; ++i) {
      if (this->Ask(i % this->edges.size(), "POST", path, job.dump()).status /
              100 ==
          2) {
        return true;
      }
      SleepMs(500);
    }
    return false;
  }
  void Submit(const std::string& path, const Json& job) {
    if (!this->TrySubmit(path, job)) {
      throw std::runtime_error("a job was not accepted");
    }
  }

  // The state that a GET shows; empty if there is none.
  std::string State(std::size_t edge, const std::string& path) {
    const Reply reply = this->Ask(edge, "GET", path);
    const Json json = Json::parse(reply.body, nullptr, false);
    return json.is_object() ? json.value("State", std::string()) : "";
  }

  std::string folder;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Edge>> edges;
};

// Returns a job id from a number.
inline std::string JobId(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "5c0e7a21%08x", number);
  return text;
}

// Whether the case is played with its disruption.
inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

// A case that takes longer is given up.
inline constexpr std::int64_t kLongestMs = 116'000;

// Runs a case: `play` returns whether the rule held. The first argument is the
// folder of the case. The result is the exit code: 0 if the rule held, 1 if it
// was broken, 2 if the case could not run.
inline int RunCase(int argc,
                   char** argv,
                   const std::function<bool(Scene&)>& play) {
  (void)NowMs();
  ::signal(SIGPIPE, SIG_IGN);
  if (argc < 2) {
    return 2;
  }
  int code = 2;
  try {
    TheRecord().Open(std::string(argv[1]) + "/record.txt");
    // The stand-ins' threads run until the process ends, so the scene is not
    // destroyed before.
    auto* scene = new Scene();
    std::thread([scene] {
      SleepMs(kLongestMs);
      Note("the case took too long");
      for (auto& edge : scene->edges) {
        edge->Kill();
      }
      ::_exit(2);
    }).detach();
    try {
      code = play(*scene) ? 0 : 1;
    } catch (const std::exception& error) {
      Note(std::string("the case could not run: ") + error.what());
    }
    for (auto& edge : scene->edges) {
      if (!edge->IsAlive()) {
        Note("an entry had ended");
      }
      edge->Kill();
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(scene->folder, ignored);
    } else {
      std::fprintf(stderr, "%s\n", scene->folder.c_str());
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  const char* const words[] = {"the rule held", "the rule was broken",
                               "the case could not run"};
  Note(words[code]);
  std::fprintf(stderr, "%s\n", words[code]);
  ::_exit(code);
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_SCENE_H_
