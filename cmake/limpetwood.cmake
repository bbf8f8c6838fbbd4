# Build rules shared by all packages.
find_package(Threads REQUIRED)
if(NOT LIMPETWOOD_DAEMON_ONLY)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(nlohmann_json 3.11 REQUIRED)
set_target_properties(nlohmann_json::nlohmann_json PROPERTIES IMPORTED_GLOBAL
  TRUE)

add_library(limpetwood_options INTERFACE)
target_compile_options(limpetwood_options INTERFACE -Wall -Wextra)
# Other optimization levels than that of CI give other, partly false, warnings.
if(NOT LIMPETWOOD_DAEMON_ONLY)
  target_compile_options(limpetwood_options INTERFACE -Werror)
endif()
target_include_directories(limpetwood_options INTERFACE
  ${CMAKE_SOURCE_DIR}/packages)

# Generated Thrift code is compiled without the project's warnings.
add_library(limpetwood_generated INTERFACE)
target_include_directories(limpetwood_generated INTERFACE
  ${CMAKE_SOURCE_DIR}/packages)
target_link_libraries(limpetwood_generated INTERFACE thrift)

# lw_library(NAME SRCS a.cc ... DEPS other ...)
function(lw_library name)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  if(ARG_SRCS)
    add_library(${name} STATIC ${ARG_SRCS})
    target_link_libraries(${name} PUBLIC limpetwood_options ${ARG_DEPS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE limpetwood_options ${ARG_DEPS})
  endif()
endfunction()

# lw_generated(NAME SRCS gen-cpp/x.cpp ...): code written by the Thrift
# compiler, kept out of the warnings and the linter.
function(lw_generated name)
  cmake_parse_arguments(ARG "" "" "SRCS" ${ARGN})
  add_library(${name} STATIC ${ARG_SRCS})
  target_link_libraries(${name} PUBLIC limpetwood_generated)
  set_target_properties(${name} PROPERTIES EXPORT_COMPILE_COMMANDS OFF)
endfunction()

# lw_test(NAME SRCS x_test.cc DEPS lib ... [LABELS l] [TIMEOUT s])
# One CTest case for each test binary.
function(lw_test name)
  if(LIMPETWOOD_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SRCS;DEPS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_link_libraries(${name} PRIVATE
    limpetwood_options ${ARG_DEPS} GTest::gtest GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
    LABELS "${ARG_LABELS}")
endfunction()

# lw_benchmark(NAME SRCS x_benchmark.cc DEPS lib ...)
function(lw_benchmark name)
  if(LIMPETWOOD_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_link_libraries(${name} PRIVATE
    limpetwood_options ${ARG_DEPS} benchmark::benchmark)
endfunction()

# lw_empty_corpus(TEST FOLDER): empties a fuzz test's folder of new inputs
# before each run, so that every run starts from the committed seeds alone.
function(lw_empty_corpus test folder)
  add_test(NAME ${test}_reset
    COMMAND sh -c "rm -rf '${folder}' && mkdir '${folder}'")
  set_tests_properties(${test}_reset PROPERTIES FIXTURES_SETUP ${test}_corpus)
  set_tests_properties(${test} PROPERTIES FIXTURES_REQUIRED ${test}_corpus)
endfunction()
