# Build rules shared by all packages: one target per component, dependencies always spelt out.

# GCC 12 reports these two falsely inside std::string.
set(SARDINE_WARNINGS -Wall -Wextra -Werror -Wno-maybe-uninitialized -Wno-restrict)

# sardine_library(<name> SOURCES <files> DEPS <targets>)
function(sardine_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${SARDINE_WARNINGS})
  target_link_libraries(${name} PUBLIC ${ARG_DEPS} Threads::Threads)
endfunction()

# sardine_binary(<name> SOURCES <files> DEPS <targets>)
function(sardine_binary name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${SARDINE_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# sardine_test(<name> SOURCES <files> DEPS <targets> [PROCESSES] [LABELS <labels>])
# PROCESSES marks a test that starts the real binaries; those run one at a time.
function(sardine_test name)
  if(SARDINE_SHIPPED_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "PROCESSES" "TIMEOUT" "SOURCES;DEPS;LABELS" ${ARGN})
  sardine_binary(${name} SOURCES ${ARG_SOURCES} DEPS ${ARG_DEPS} GTest::gtest GTest::gmock GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  set_tests_properties(${name} PROPERTIES
    TIMEOUT ${ARG_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204;SARDINE_BIN_DIR=${PROJECT_BINARY_DIR}/bin")
  if(ARG_PROCESSES)
    set_tests_properties(${name} PROPERTIES PROCESSORS 4 LABELS "processes;${ARG_LABELS}")
  else()
    set_tests_properties(${name} PROPERTIES LABELS "unit;${ARG_LABELS}")
  endif()
endfunction()
