/// \file property.hpp
/// RapidCheck properties as CppUnit cases.
#ifndef POLLENLOFT_TEST_PROPERTY_HPP
#define POLLENLOFT_TEST_PROPERTY_HPP

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace pollenloft::test {

/// Steps of one stateful run; scripts/check sets POLLENLOFT_STEPS.
inline auto fuzz_steps() -> std::size_t {
  const auto* text = std::getenv("POLLENLOFT_STEPS");
  return text == nullptr ? 400 : std::stoul(text);
}

/// A random history: each number is decoded into one step by the test.
inline auto step_codes() -> rc::Gen<std::vector<std::uint32_t>> {
  // The full range at any size: small numbers would decode into few kinds.
  return rc::gen::container<std::vector<std::uint32_t>>(
      fuzz_steps(),
      rc::gen::noShrink(rc::gen::resize(rc::kNominalSize,
                                        rc::gen::arbitrary<std::uint32_t>())));
}

/// Fails the CppUnit case if the property does not hold; RapidCheck prints
/// the counterexample and the seed.
template <class Property>
auto check_property(const std::string& name, Property property) -> void {
  CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, property));
}

}  // namespace pollenloft::test

#endif
