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

/// Number of steps of one stateful run; scripts/check sets POLLENLOFT_STEPS.
inline auto fuzz_step_count() -> std::size_t {
  const auto* text = std::getenv("POLLENLOFT_STEPS");
  return text == nullptr ? 400 : std::stoul(text);
}

/// Random numbers for a stateful run; the test decodes each into one step.
inline auto step_codes() -> rc::Gen<std::vector<std::uint32_t>> {
  // The nominal size gives the full range in every run: RapidCheck starts with
  // small numbers, which decode into few kinds of steps.
  return rc::gen::container<std::vector<std::uint32_t>>(
      fuzz_step_count(),
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
