// Stand-in of the platform's store, as PROTOCOL.md describes it. Its records
// outlast Stop() and Start().
#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace standin {

class Store {
 public:
  explicit Store(Record& record)
      : record(record), server([this](const Request& r) { return Handle(r); }) {}

  ~Store() {
    this->Down();
  }

  std::string Address() const { return this->server.Address(); }

  // The store is down: connections end and new ones are refused.
  void Down() {
    {
      const std::lock_guard lock(this->mutex);
      this->up = false;
    }
    this->changed.notify_all();
    this->server.Stop();
  }
  void Up() {
    {
      const std::lock_guard lock(this->mutex);
      this->up = true;
    }
    this->server.Start();
  }

  // Appends one record as the operator or the platform does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    {
      const std::lock_guard lock(this->mutex);
      this->topics[topic].records.push_back({key, value});
    }
    this->changed.notify_all();
  }

  // Only the newest record of each key is kept; reads of the tail from before
  // now are answered with 410.
  void DropHistory(const std::string& topic) {
    const std::lock_guard lock(this->mutex);
    this->topics[topic].oldest = this->topics[topic].records.size();
  }

  std::string Newest(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    std::string value;
    for (const auto& entry : this->topics[topic].records) {
      if (entry.key == key) {
        value = entry.value;
      }
    }
    return value;
  }

  // Called, without the lock, after an append has taken effect and before it
  // is answered. With false, the answer is lost: the connection ends.
  std::function<bool(const std::string& topic,
                     const std::vector<std::string>& keys)>
      after_append;

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Entry> records;
    std::uint64_t oldest = 0;
    // Of the one producer that the product uses in a topic.
    std::uint64_t epoch = 0;
    bool has_sequence = false;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, Response> answers;
  };

  static constexpr std::size_t kRepeatedAnswers = 5;

  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
      text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
    return text;
  }

  static std::string Base64(const std::string& bytes) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8 |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text.push_back(i + j <= bytes.size()
                           ? digits[group >> (18 - 6 * j) & 63]
                           : '=');
      }
    }
    return text;
  }

  static std::uint64_t Number(const Request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? 0 : std::stoull(found->second);
  }

  Response Handle(const Request& request) {
    const auto named = request.query.find("topic");
    const std::string topic =
        named == request.query.end() ? "" : named->second;
    if (request.path == "/log-append") {
      return this->Append(request, topic);
    }
    if (request.path == "/log-read") {
      return this->Read(request, topic);
    }
    if (request.path == "/log-newest") {
      return this->ReadNewest(request, topic);
    }
    return {404, "{}"};
  }

  Response Append(const Request& request, const std::string& topic) {
    std::vector<Entry> entries;
    std::vector<std::string> keys;
    const std::string& body = request.body;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(body[at + i]);
      }
      const std::string content = body.substr(at + 4, size);
      const std::size_t key = static_cast<unsigned char>(content.at(0));
      entries.push_back({content.substr(1, key), content.substr(1 + key)});
      keys.push_back(entries.back().key);
      at += 4 + size;
    }
    Response response;
    {
      const std::lock_guard lock(this->mutex);
      if (!this->up) {
        response.action = Action::kClose;
        return response;
      }
      response = this->Apply(request, this->topics[topic], entries);
    }
    this->changed.notify_all();
    if (response.status == 200 && this->after_append &&
        !this->after_append(topic, keys)) {
      response.action = Action::kClose;
    }
    SleepMs(4);
    return response;
  }

  Response Apply(const Request& request,
                 Topic& topic,
                 const std::vector<Entry>& entries) {
    const bool by_producer = request.query.contains("producer");
    const std::uint64_t epoch = Number(request, "epoch");
    const std::uint64_t sequence = Number(request, "seq");
    if (by_producer) {
      if (epoch < topic.epoch) {
        return {409, R"({"reason":"fenced"})"};
      }
      if (epoch == topic.epoch && topic.has_sequence) {
        const auto repeated = topic.answers.find(sequence);
        if (repeated != topic.answers.end()) {
          return repeated->second;
        }
        if (sequence != topic.sequence + 1) {
          return {409, R"({"reason":"seq"})"};
        }
      }
    }
    const std::uint64_t end = topic.records.size();
    if (request.query.contains("at") && Number(request, "at") != end) {
      return {412, nlohmann::json{{"end", end}}.dump()};
    }
    topic.records.insert(topic.records.end(), entries.begin(), entries.end());
    const Response response{200,
                            nlohmann::json{{"offset", end},
                                           {"end", topic.records.size()}}
                                .dump()};
    if (by_producer) {
      if (epoch > topic.epoch) {
        topic.answers.clear();
      }
      topic.epoch = epoch;
      topic.has_sequence = true;
      topic.sequence = sequence;
      topic.answers[sequence] = response;
      while (topic.answers.size() > kRepeatedAnswers) {
        topic.answers.erase(topic.answers.begin());
      }
    }
    return response;
  }

  Response Read(const Request& request, const std::string& name) {
    const std::uint64_t from = Number(request, "from");
    const std::int64_t until =
        NowMs() + static_cast<std::int64_t>(Number(request, "wait_ms"));
    constexpr std::size_t kMaxBytes = 1024 * 1024;
    std::unique_lock lock(this->mutex);
    Topic& topic = this->topics[name];
    while (this->up && topic.records.size() <= from && NowMs() < until) {
      this->changed.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
    }
    Response response;
    if (!this->up) {
      response.action = Action::kClose;
      return response;
    }
    if (from < topic.oldest) {
      return {410, nlohmann::json{{"oldest", topic.oldest}}.dump()};
    }
    response.type = "application/octet-stream";
    response.body =
        BigEndian(topic.records.size(), 8) + BigEndian(topic.oldest, 8);
    for (std::uint64_t i = from;
         i < topic.records.size() && response.body.size() < kMaxBytes; ++i) {
      const Entry& entry = topic.records[i];
      response.body += BigEndian(1 + entry.key.size() + entry.value.size(), 4) +
                       BigEndian(entry.key.size(), 1) + entry.key + entry.value;
    }
    lock.unlock();
    SleepMs(2);
    return response;
  }

  Response ReadNewest(const Request& request, const std::string& name) {
    const auto after = request.query.find("depends_on");
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    std::size_t end = 0;
    {
      const std::lock_guard lock(this->mutex);
      const auto& records = this->topics[name].records;
      end = records.size();
      for (std::size_t i = 0; i < records.size(); ++i) {
        newest[records[i].key] = {i, records[i].value};
      }
    }
    for (const auto& [key, entry] : newest) {
      if (entry.second.empty() ||
          (after != request.query.end() && key <= after->second)) {
        continue;
      }
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.push_back({{"key", key},
                       {"value", Base64(entry.second)},
                       {"offset", entry.first}});
    }
    SleepMs(4);
    return {200,
            nlohmann::json{{"items", items}, {"more", more}, {"end", end}}
                .dump()};
  }

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  bool up = true;
  std::map<std::string, Topic> topics;
  Server server;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_STORE_H_
