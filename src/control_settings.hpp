/// \file control_settings.hpp
/// The settings of a control VM.
#ifndef POLLENLOFT_CONTROL_SETTINGS_HPP
#define POLLENLOFT_CONTROL_SETTINGS_HPP

#include <vector>

#include "pollenloft/settings.hpp"

namespace pollenloft {

auto control_settings() -> const std::vector<setting>&;

}  // namespace pollenloft

#endif
