/// \file route_views.hpp
/// Endpoints and requests for tests of the router.
#ifndef POLLENLOFT_TEST_ROUTE_VIEWS_HPP
#define POLLENLOFT_TEST_ROUTE_VIEWS_HPP

#include "pollenloft/route.hpp"

namespace pollenloft::test {

inline auto runner(const std::string& id, std::int32_t first, std::int32_t last,
                   const std::string& zone = "z1",
                   const std::string& kind = "k") -> endpoint_view {
  return {id, "1", {"127.0.0.1", 1}, kind, zone, "chat", first, last, 4};
}

inline auto full_chain_request(std::int32_t layers = 32) -> chain_request {
  chain_request request;
  request.pipeline = "chat";
  request.layers = layers;
  return request;
}

}  // namespace pollenloft::test

#endif
