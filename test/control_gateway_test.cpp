#include "control_gateway.hpp"

#include <nlohmann/json.hpp>

#include "property.hpp"

namespace pollenloft::test {
namespace {

using json = nlohmann::json;

const socket_address gateway_address{"127.0.9.5", 18084};
constexpr auto report_period = milliseconds(100);

/// A control replica that commits documents at once.
class fake_control_host : public control_host {
 public:
  auto is_active_leader() const -> bool override { return leading; }
  auto leader_reachable() const -> bool override { return leader_connected; }
  auto leader_host() const -> std::string override { return leader; }
  auto state() const -> const control_state& override { return state_; }
  auto directory() -> endpoint_directory& override { return directory_; }
  auto submit_document(wire::document_command document, commit_handler done)
      -> void override {
    wire::command command;
    command.__isset.document = true;
    command.document = std::move(document);
    last_submitted = command.document;
    if (commits) state_.apply(encode_wire(command));
    done(commits);
  }
  auto share_changes(const std::set<std::string>& ids) -> void override {
    shared_changes.push_back(ids);
  }
  auto record_departure(const std::string& id, confirm_handler done)
      -> void override {
    to_confirm.push_back(id);
    done(confirms);
  }
  auto share_heard(const std::set<std::string>& ids) -> void override {
    heard.push_back(ids);
  }
  auto share_directory(std::optional<std::uint32_t> member) -> void override {
    directories.push_back(member);
  }
  auto on_directory_changed() -> void override { ++changes; }

  bool leading = true;
  bool leader_connected = true;
  bool commits = true;
  std::string leader;
  wire::document_command last_submitted;
  bool confirms = true;
  std::vector<std::set<std::string>> shared_changes;
  std::vector<std::string> to_confirm;
  std::vector<std::set<std::string>> heard;
  std::vector<std::optional<std::uint32_t>> directories;  // by receiver
  int changes = 0;

 private:
  control_state state_;
  endpoint_directory directory_;
};

auto document(int version, int timeout = 1000) -> std::string {
  return json{{"Version", version},
              {"Routes",
               {{{"Name", "r"},
                 {"Hostname", "h"},
                 {"PathPrefix", "/"},
                 {"Type", "idempotent"},
                 {"TimeoutMs", timeout},
                 {"Backend", "app"}}}},
              {"Services", {{{"Name", "app"}}}}}
      .dump();
}

auto report(int sequence, const std::string& state = "ready",
            const std::string& address = "10.0.0.9:80", int start_time = 1)
    -> std::string {
  json body{{"Backend", "app"}, {"Address", address}, {"Zone", "z"},
            {"Slots", 6},       {"State", state},     {"Seq", sequence}};
  if (start_time > 0) body["born"] = start_time;
  return body.dump();
}

}  // namespace

class control_gateway_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_gateway_test);
  CPPUNIT_TEST(document_is_acknowledged_and_read_back_as_sent);
  CPPUNIT_TEST(document_enters_the_log_compressed);
  CPPUNIT_TEST(largest_document_is_acknowledged_and_applied);
  CPPUNIT_TEST(equal_or_lower_number_changes_nothing);
  CPPUNIT_TEST(invalid_document_is_refused_whatever_its_number);
  CPPUNIT_TEST(uncommitted_document_is_not_acknowledged);
  CPPUNIT_TEST(follower_redirects_to_the_leader);
  CPPUNIT_TEST(reads_are_refused_without_a_leader);
  CPPUNIT_TEST(report_is_shared_when_it_changes_something);
  CPPUNIT_TEST(leave_is_acknowledged_before_another_replica_has_it);
  CPPUNIT_TEST(drain_is_acknowledged_before_another_replica_has_it);
  CPPUNIT_TEST(share_carries_outdated_records);
  CPPUNIT_TEST(late_report_does_not_undo_leaving);
  CPPUNIT_TEST(report_is_refused_while_the_leader_is_unreachable);
  CPPUNIT_TEST(address_belongs_to_the_latest_start);
  CPPUNIT_TEST(displaced_endpoint_returns_by_a_report);
  CPPUNIT_TEST(overdue_reports_mark_an_endpoint_silent);
  CPPUNIT_TEST(differing_directories_converge);
  CPPUNIT_TEST(reports_do_not_override_the_leaders_records);
  CPPUNIT_TEST_SUITE_END();

  event_loop loop_;
  std::unique_ptr<fake_control_host> host_;
  std::unique_ptr<control_gateway> gateway_;
  http_headers headers_;
  std::string body_;

 public:
  auto setUp() -> void override {
    host_ = std::make_unique<fake_control_host>();
    gateway_ = std::make_unique<control_gateway>(loop_, *host_, gateway_address,
                                                 report_period);
    CPPUNIT_ASSERT(gateway_->start());
  }
  auto tearDown() -> void override { gateway_.reset(); }

  auto send(const std::string& method, const std::string& path,
            const std::string& body = "") -> int {
    http_client client(loop_);
    http_call call{gateway_address, method, path};
    call.body = body;
    int status = 0;
    call_handlers handlers;
    handlers.on_headers = [&](int code, const auto& headers) {
      status = code;
      headers_ = headers;
    };
    handlers.on_done = [&](const auto& /*result*/, auto text) {
      body_ = text;
      loop_.stop();
    };
    const auto pending = client.send(call, handlers);
    loop_.run();
    return status;
  }

  auto record(const std::string& id) -> const wire::endpoint_record& {
    return host_->directory().records().at(id);
  }
  auto state_of(const std::string& id) -> endpoint_state {
    return static_cast<endpoint_state>(record(id).state);
  }

  auto document_is_acknowledged_and_read_back_as_sent() -> void {
    CPPUNIT_ASSERT_EQUAL(503, send("GET", "/config"));
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/config", document(3)));
    CPPUNIT_ASSERT_EQUAL(200, send("GET", "/config"));
    CPPUNIT_ASSERT_EQUAL(document(3), body_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, gateway_->config()->number);
  }

  auto document_enters_the_log_compressed() -> void {
    const auto text = document(3) + std::string(400'000, ' ');
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/config", text));
    CPPUNIT_ASSERT(host_->last_submitted.text.empty());
    CPPUNIT_ASSERT(host_->last_submitted.packed.size() < 1024);
    CPPUNIT_ASSERT(host_->state().document().text == text);
  }

  auto largest_document_is_acknowledged_and_applied() -> void {
    auto text = document(3);
    text.resize(max_document_bytes, ' ');
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/config", text));
    CPPUNIT_ASSERT(host_->state().document().text == text);
    CPPUNIT_ASSERT(send("PUT", "/config", text + " ") != 200);
  }

  auto equal_or_lower_number_changes_nothing() -> void {
    send("PUT", "/config", document(3));
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/config", document(3, 2000)));
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/config", document(2)));
    send("GET", "/config");
    CPPUNIT_ASSERT_EQUAL(document(3), body_);
  }

  auto invalid_document_is_refused_whatever_its_number() -> void {
    send("PUT", "/config", document(3));
    for (const auto version : {2, 3, 4})
      CPPUNIT_ASSERT_EQUAL(400, send("PUT", "/config", document(version, 0)));
    host_->leading = false;
    CPPUNIT_ASSERT_EQUAL(400, send("PUT", "/config", document(5, 0)));
  }

  auto uncommitted_document_is_not_acknowledged() -> void {
    host_->commits = false;
    CPPUNIT_ASSERT_EQUAL(503, send("PUT", "/config", document(3)));
  }

  auto follower_redirects_to_the_leader() -> void {
    host_->leading = false;
    host_->leader = "10.0.0.4";
    for (const auto* method : {"GET", "PUT"}) {
      CPPUNIT_ASSERT_EQUAL(307, send(method, "/config", document(3)));
      CPPUNIT_ASSERT(headers_.find("Location") ==
                     "http://10.0.0.4:18084/config");
    }
  }

  auto reads_are_refused_without_a_leader() -> void {
    send("PUT", "/config", document(3));
    host_->leading = false;
    CPPUNIT_ASSERT_EQUAL(503, send("GET", "/config"));
    host_->leader = gateway_address.host;  // this replica itself
    CPPUNIT_ASSERT_EQUAL(503, send("GET", "/config"));
  }

  auto report_is_shared_when_it_changes_something() -> void {
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/instances/a", report(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->shared_changes.size());
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/instances/a", report(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->shared_changes.size());
    send("PUT", "/instances/a", report(3, "draining"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host_->shared_changes.size());
    CPPUNIT_ASSERT_EQUAL(400, send("PUT", "/instances/b", "{}"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->directory().size());
  }

  auto leave_is_acknowledged_before_another_replica_has_it() -> void {
    send("PUT", "/instances/a", report(1));
    CPPUNIT_ASSERT(host_->to_confirm.empty());
    host_->confirms = false;
    CPPUNIT_ASSERT_EQUAL(503, send("DELETE", "/instances/a"));
    CPPUNIT_ASSERT_EQUAL(503, send("DELETE", "/instances/a"));  // repeated
    host_->confirms = true;
    CPPUNIT_ASSERT_EQUAL(200, send("DELETE", "/instances/a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host_->to_confirm.size());
  }

  auto drain_is_acknowledged_before_another_replica_has_it() -> void {
    host_->confirms = false;
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/instances/a", report(1)));
    CPPUNIT_ASSERT_EQUAL(200, send("PUT", "/instances/a", report(2)));
    for (const auto sequence : {3, 4})
      CPPUNIT_ASSERT_EQUAL(
          503, send("PUT", "/instances/a", report(sequence, "draining")));
    host_->confirms = true;
    CPPUNIT_ASSERT_EQUAL(200,
                         send("PUT", "/instances/a", report(5, "draining")));
  }

  auto share_carries_outdated_records() -> void {
    send("PUT", "/instances/a", report(1));
    send("DELETE", "/instances/a");
    const auto share = gateway_->make_share({{"a", "unknown"}, {"a"}, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, share.records.size());
    CPPUNIT_ASSERT(share.records[0] == record("a"));
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::gone);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), share.heard.at(0).id);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(host_->directory().digest()),
                         share.digest);
  }

  auto late_report_does_not_undo_leaving() -> void {
    send("PUT", "/instances/a", report(4));
    send("PUT", "/instances/a", report(5, "draining"));
    send("PUT", "/instances/a", report(3));
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::leaving);
    send("DELETE", "/instances/a");
    send("PUT", "/instances/a", report(6));
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::gone);
    send("PUT", "/instances/a", report(1, "ready", "10.0.0.9:80", 2));
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::up);
  }

  auto report_is_refused_while_the_leader_is_unreachable() -> void {
    host_->leader_connected = false;
    CPPUNIT_ASSERT_EQUAL(503, send("PUT", "/instances/a", report(1)));
    CPPUNIT_ASSERT_EQUAL(503, send("DELETE", "/instances/a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host_->directory().size());
  }

  auto address_belongs_to_the_latest_start() -> void {
    send("PUT", "/instances/a", report(9, "ready", "10.0.0.9:80", 5));
    send("PUT", "/instances/b", report(1, "ready", "10.0.0.9:80", 6));
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::gone);
    send("PUT", "/instances/c", report(1, "ready", "10.0.0.9:80", 4));
    CPPUNIT_ASSERT(host_->directory().records().count("c") == 0);
    CPPUNIT_ASSERT(state_of("b") == endpoint_state::up);
  }

  /// Without start times a late report may come from either endpoint, so each
  /// report makes its endpoint the owner of the address again.
  auto displaced_endpoint_returns_by_a_report() -> void {
    send("PUT", "/instances/a", report(1, "ready", "10.0.0.9:80", 0));
    send("PUT", "/instances/b", report(1, "ready", "10.0.0.9:80", 0));
    CPPUNIT_ASSERT(record("a").displaced);
    CPPUNIT_ASSERT(!record("b").displaced);
    send("PUT", "/instances/a", report(2, "ready", "10.0.0.9:80", 0));
    CPPUNIT_ASSERT(!record("a").displaced);
  }

  auto overdue_reports_mark_an_endpoint_silent() -> void {
    send("PUT", "/instances/a", report(1));
    const auto now = boottime_clock::now();
    gateway_->tick(now + 2 * report_period);
    CPPUNIT_ASSERT(!record("a").silent);
    gateway_->tick(now + 5 * report_period);
    CPPUNIT_ASSERT(record("a").silent);
    CPPUNIT_ASSERT(state_of("a") == endpoint_state::up);
    wire::directory_share share;
    wire::heard_endpoint heard;
    heard.id = "a";
    share.heard = {heard};
    gateway_->handle_directory_share(share);
    gateway_->tick(boottime_clock::now());
    CPPUNIT_ASSERT(!record("a").silent);
  }

  auto differing_directories_converge() -> void {
    send("PUT", "/instances/a", report(1));
    wire::directory_share share;
    share.sender = 7;
    share.digest = static_cast<std::int64_t>(host_->directory().digest());
    gateway_->handle_directory_share(share);
    CPPUNIT_ASSERT(host_->directories.empty());
    share.digest += 1;
    gateway_->handle_directory_share(share);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->directories.size());
    CPPUNIT_ASSERT(host_->directories[0] == 7U);
    gateway_->handle_directory_share(share);  // within the full-share interval
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_->directories.size());
  }

  auto reports_do_not_override_the_leaders_records() -> void {
    auto body = json::parse(report(1));
    body["Type"] = "l4";
    body["Layers"] = {{"From", 0}, {"To", 8}};
    send("PUT", "/instances/a", body.dump());
    CPPUNIT_ASSERT_EQUAL(8, record("a").last_layer);
    host_->directory().set_layers("a", 0, 4);  // drops layers 4 to 7
    host_->directory().set_unreachable("a", true);
    body["Seq"] = 2;
    send("PUT", "/instances/a", body.dump());
    CPPUNIT_ASSERT_EQUAL(4, record("a").last_layer);
    CPPUNIT_ASSERT(record("a").unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_gateway_test);

}  // namespace pollenloft::test
