#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front_request_fixture.hpp"

namespace pollenloft::test {

using namespace front_requests;

namespace {

const socket_address mute_address{"127.0.9.90", 18599};

/// A listener whose backlog is full, so that it answers no connection.
class mute_listener {
 public:
  mute_listener() {
    address_.sin_family = AF_INET;
    address_.sin_port = htons(mute_address.port);
    address_.sin_addr.s_addr = htonl(ipv4_number(mute_address.host));
    const auto listener = open();
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(listener, raw(), sizeof address_));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 0));
    for (int i = 0; i < 4; ++i)
      ::connect(open(), raw(), sizeof address_);
  }
  ~mute_listener() {
    for (const auto socket : sockets_)
      ::close(socket);
  }
  mute_listener(const mute_listener&) = delete;
  auto operator=(const mute_listener&) -> mute_listener& = delete;

 private:
  auto open() -> int {
    return sockets_.emplace_back(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  }
  auto raw() -> sockaddr* { return reinterpret_cast<sockaddr*>(&address_); }

  sockaddr_in address_{};
  std::vector<int> sockets_;
};

}  // namespace

/// Streams without length whose head ends them after it has lost a stage.
class chain_end_test : public fixture {
  CPPUNIT_TEST_SUITE(chain_end_test);
  CPPUNIT_TEST(mended_chain_ends_the_stream_as_whole);
  CPPUNIT_TEST(restarted_stage_ends_the_stream_as_whole);
  CPPUNIT_TEST(cut_off_stage_ends_the_stream_as_whole);
  CPPUNIT_TEST_SUITE_END();

  exchange_ptr held_;
  timer loss_timer_;
  timer end_timer_;

  auto add_stage(const std::string& id, const socket_address& address) -> void {
    host_->routes().upsert({id, "1", address, "", "z", "app", 1, 2, 8});
  }

  auto make_chain(bool resumable, const socket_address& second) -> void {
    make_stream(resumable);
    route_.max_attempts = 1;
    engine_.layers = 2;
    use_engine_ = true;
    add_stage("e2", second);
  }

  auto begin_stream(const exchange_ptr& call) -> void {
    held_ = call;
    call->start(200, endpoint_headers(), body_end::connection);
    call->chunk(event(1));
  }

  auto expect_abort() -> void {
    send_request();
    held_.reset();
    CPPUNIT_ASSERT_EQUAL(event(1), body_);
    CPPUNIT_ASSERT(!completed());
  }

 public:
  auto mended_chain_ends_the_stream_as_whole() -> void {
    make_chain(true, unreachable_address);
    endpoint_handler_ = [this](const auto& call, std::size_t number) {
      if (number > 1) {
        call->reply(202, {}, "");
        return held_->end();
      }
      begin_stream(call);
      loss_timer_ = loop_.after(milliseconds(30), [this] {
        host_->routes().remove("e2");
        add_stage("e3", endpoint_address);
        host_->request->handle_endpoint_failure("e2");
      });
    };
    expect_abort();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_.size());
  }

  auto restarted_stage_ends_the_stream_as_whole() -> void {
    make_chain(false, endpoint_address);
    endpoint_handler_ = [this](const auto& call, auto) {
      begin_stream(call);
      loss_timer_ = loop_.after(milliseconds(30), [this] {
        host_->request->handle_endpoint_failure("e2");
      });
      end_timer_ = loop_.after(milliseconds(60), [this] { held_->end(); });
    };
    expect_abort();
  }

  auto cut_off_stage_ends_the_stream_as_whole() -> void {
    const mute_listener mute;
    make_chain(false, mute_address);
    endpoint_handler_ = [this](const auto& call, auto) {
      begin_stream(call);
      call->end();
    };
    expect_abort();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(chain_end_test);

}  // namespace pollenloft::test
