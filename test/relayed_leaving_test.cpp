#include "front_notices.hpp"

namespace pollenloft::test {

using namespace front_notices;

namespace {

const socket_address other_entry_address{"127.0.9.44", 18190};
const socket_address other_front_address{"127.0.9.44", 18191};
const socket_address other_relay_address{"127.0.9.44", 18196};
const socket_address other_control_address{"127.0.9.45", 18193};

/// Where the other VM reaches the endpoints.
auto other_address_of(const std::string& id) -> socket_address {
  return {"127.0.9.46", address_of(id).port};
}

}  // namespace

/// A VM that has lost its links to the endpoints, beside one that has not.
class relayed_leaving_test : public fixture {
  CPPUNIT_TEST_SUITE(relayed_leaving_test);
  CPPUNIT_TEST(relayed_answer_of_an_endpoint_that_leaves_is_forgotten);
  CPPUNIT_TEST(relayed_stream_of_an_endpoint_that_leaves_is_forgotten);
  CPPUNIT_TEST(endpoint_excludes_another_one_by_a_relay_header);
  CPPUNIT_TEST(answer_relayed_by_an_earlier_version_is_not_served);
  CPPUNIT_TEST(malformed_relay_header_names_an_endpoint);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<fake_leader> other_leader_;
  std::unique_ptr<entry_server> other_entry_;
  std::unique_ptr<front_server> other_front_;
  std::map<std::string, std::unique_ptr<http_server>> other_endpoints_;

 public:
  auto setUp() -> void override {
    fixture::setUp();
    other_leader_ = std::make_unique<fake_leader>(loop_, other_control_address);
    other_entry_ =
        make_entry("other", other_entry_address, other_control_address);
    other_front_ =
        make_front(*other_entry_, other_front_address, other_relay_address);
    for (const std::string id : {"a", "b"}) {
      other_endpoints_[id] = make_endpoint(id, other_address_of(id));
      auto record = make_record(id, "1");
      record.address = other_address_of(id).text();
      other_leader_->list(record);
    }
    CPPUNIT_ASSERT(other_front_->start());
    CPPUNIT_ASSERT(other_entry_->start());
    wire::peer_record peer;
    peer.vm = "other";
    peer.zone = "z";
    peer.address = other_relay_address.text();
    peer.key = "secret";
    leader_->peers = {peer};
    wait(milliseconds(100));
  }
  auto tearDown() -> void override {
    other_endpoints_.clear();
    other_front_.reset();
    other_entry_.reset();
    other_leader_.reset();
    fixture::tearDown();
  }

  auto lose_links() -> void { endpoints_.clear(); }
  auto regain_links() -> void {
    start_endpoint("a");
    start_endpoint("b");
    wait(milliseconds(800));
  }

  auto relayed_answer_of_an_endpoint_that_leaves_is_forgotten() -> void {
    say_leaving("a", 200, false);
    lose_links();
    send_until_at("a");
    regain_links();
    assert_excluded("a");
  }

  auto relayed_stream_of_an_endpoint_that_leaves_is_forgotten() -> void {
    for (const std::string id : {"a", "b"})
      handlers_[id] = [id](const exchange_ptr& call) {
        auto headers = answer_to(call);
        if (id == "a") headers.add("Server-Leaving", "1");
        call->start(200, headers);
        call->chunk("id: 1\n\n");
        call->end();
      };
    lose_links();
    send_until_at("a", "/stream/1");
    regain_links();
    assert_excluded("a");
  }

  auto endpoint_excludes_another_one_by_a_relay_header() -> void {
    handlers_["a"] = [](const exchange_ptr& call) {
      call->reply(200,
                  answer_to(call)
                      .add("Server-Leaving", "1")
                      .add("Pollenloft-Relay-Leaving", "b 1"),
                  "");
    };
    lose_links();
    send_until_at("a");
    CPPUNIT_ASSERT(!last_headers_.find("Pollenloft-Relay-Leaving"));
    CPPUNIT_ASSERT(!entry_->control().notices().endpoints().leaves("b", "1"));
  }

  auto answer_relayed_by_an_earlier_version_is_not_served() -> void {
    other_front_.reset();
    http_server earlier(loop_, http_limits{}, [](const exchange_ptr& call) {
      call->reply(200, answer_to(call).add("Server-Leaving", "1"), "done");
    });
    CPPUNIT_ASSERT(earlier.listen(other_relay_address));
    lose_links();
    CPPUNIT_ASSERT_EQUAL(200, send());
    CPPUNIT_ASSERT(entry_->control().notices().endpoints().empty());
  }

  auto malformed_relay_header_names_an_endpoint() -> void {
    for (const auto* value : {"", " ", "a", "a ", " 1"})
      CPPUNIT_ASSERT(!parse_relay_leaving(
          http_headers().add(relay_leaving_header, value)));
    const auto named = parse_relay_leaving(
        http_headers().add(relay_leaving_header, "a b 1.2"));
    CPPUNIT_ASSERT(named && named->id == "a b" && named->incarnation == "1.2");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_leaving_test);

}  // namespace pollenloft::test
