/// \file relay_peer_fixture.hpp
/// An entry VM that has lost its links to all endpoints, beside two other VMs
/// on raw sockets.
#ifndef POLLENLOFT_TEST_RELAY_PEER_FIXTURE_HPP
#define POLLENLOFT_TEST_RELAY_PEER_FIXTURE_HPP

#include "front_notices.hpp"
#include "raw_endpoint.hpp"

namespace pollenloft::test::relay_peers {

using front_notices::front_address;
using raw::chunk;
using raw::chunked_head;
using raw::ending;
using raw::head;
using raw::raw_endpoint;
using raw::raw_response;

inline const std::vector<socket_address> peer_addresses{{"127.0.9.70", 18601},
                                                        {"127.0.9.71", 18601}};
inline const std::string last_chunk = "0\r\n\r\n";

inline auto event(int id) -> std::string {
  const auto text = std::to_string(id);
  return "id: " + text + "\ndata: t" + text + "\n\n";
}

inline auto with_length(const std::string& status, const std::string& body,
                        const std::string& fields = "Request-Id: r1\r\n")
    -> std::string {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class fixture : public front_notices::fixture {
 public:
  auto setUp() -> void override {
    front_notices::fixture::setUp();
    start_peers();
    wait(milliseconds(100));
    endpoints_.clear();
  }
  auto tearDown() -> void override {
    peers_.clear();
    front_notices::fixture::tearDown();
  }

 protected:
  auto start_peers() -> void {
    script_ = std::make_shared<raw::raw_script>();
    script_->request_end = "\r\n\r\n";
    peers_.clear();
    leader_->peers.clear();
    for (const auto& address : peer_addresses) {
      peers_.push_back(std::make_unique<raw_endpoint>(loop_, address, script_));
      wire::peer_record peer;
      peer.vm = "peer" + std::to_string(peers_.size());
      peer.zone = "z";
      peer.address = address.text();
      peer.key = "secret";
      leader_->peers.push_back(peer);
    }
  }

  /// Sends a request that is relayed. Returns the status of a complete
  /// response, or 0.
  auto relay(const std::string& target, std::vector<raw_response> responses)
      -> int {
    script_->responses = std::move(responses);
    script_->received.clear();
    http_client caller(loop_);
    http_call call{front_address, "POST", target};
    call.headers.add("Host", "h").add("Request-Id", "r1");
    call.headers.add("Deadline-Ms", "3000");
    body_.clear();
    result_.reset();
    caller.send(call, {{},
                       [this](auto data) { body_ += data; },
                       [this](const auto& result, auto body) {
                         result_ = result;
                         body_ += body;
                         loop_.stop();
                       }});
    loop_.run();
    const auto* completed = std::get_if<call_completed>(&*result_);
    return completed == nullptr ? 0 : completed->status;
  }

  auto received() const -> const std::vector<std::string>& {
    return script_->received;
  }

  std::shared_ptr<raw::raw_script> script_;
  std::vector<std::unique_ptr<raw_endpoint>> peers_;
  std::optional<call_result> result_;
  std::string body_;
};

}  // namespace pollenloft::test::relay_peers

#endif
