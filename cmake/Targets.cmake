# Build rules shared by every package. Each target names its own sources and its direct dependencies.

add_library(dragonflytray_options INTERFACE)
target_include_directories(dragonflytray_options INTERFACE ${PROJECT_SOURCE_DIR}/packages)
# GCC 12 reports std::variant's inactive alternatives as maybe uninitialized under -O2: a false alarm
# inside libstdc++ that no change of our sources removes. clang-tidy checks our own variables.
target_compile_options(dragonflytray_options INTERFACE -Wall -Wextra -Werror
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
target_link_libraries(dragonflytray_options INTERFACE Threads::Threads)

# dragonflytray_library(NAME SOURCES ... DEPS ...): one static library of one package.
function(dragonflytray_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC dragonflytray_options ${ARG_DEPS})
endfunction()

# dragonflytray_program(NAME SOURCES ... DEPS ...): one program.
function(dragonflytray_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE dragonflytray_options ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# dragonflytray_test(NAME SOURCES ... DEPS ...): one Catch2 program whose cases are ctest tests.
function(dragonflytray_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE dragonflytray_options catch_main ${ARG_DEPS})
  catch_discover_tests(${name} WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR})
endfunction()
