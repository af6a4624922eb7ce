# Settings shared by all targets of the project.
add_library(chicorylink_options INTERFACE)
target_include_directories(chicorylink_options INTERFACE
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
target_compile_options(chicorylink_options INTERFACE
  -Wall -Wextra -Wshadow -Wconversion -Wno-sign-conversion
  -Wno-missing-field-initializers -Werror)
target_link_libraries(chicorylink_options INTERFACE Threads::Threads)
if(CHICORYLINK_SANITIZE)
  target_compile_options(chicorylink_options INTERFACE
    -fsanitize=${CHICORYLINK_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(chicorylink_options INTERFACE -fsanitize=${CHICORYLINK_SANITIZE})
endif()

# Seconds that a test program may take; instrumented programs are many times slower.
set(CHICORYLINK_TEST_TIMEOUT 300)
if(CHICORYLINK_SANITIZE)
  set(CHICORYLINK_TEST_TIMEOUT 1800)
endif()

# chicorylink_module(NAME LINK library...)
#
# Builds src/chicorylink/NAME/*.cpp into the library chicorylink::NAME. Files that end in
# _test.cpp become the test program NAME_test, files that end in _benchmark.cpp the program
# NAME_benchmark. Sources are found by pattern, so that adding a file needs no change here.
function(chicorylink_module name)
  cmake_parse_arguments(MODULE "" "" "LINK" ${ARGN})
  set(folder ${PROJECT_SOURCE_DIR}/src/chicorylink/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${folder}/*_test.cpp)
  file(GLOB benchmarks CONFIGURE_DEPENDS ${folder}/*_benchmark.cpp)
  if(tests OR benchmarks)
    list(REMOVE_ITEM sources ${tests} ${benchmarks})
  endif()

  set(library chicorylink_${name})
  if(sources)
    add_library(${library} STATIC ${sources})
    target_link_libraries(${library} PUBLIC chicorylink_options ${MODULE_LINK})
    target_include_directories(${library} PUBLIC)
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE chicorylink_options ${MODULE_LINK})
  endif()
  add_library(chicorylink::${name} ALIAS ${library})

  if(CHICORYLINK_DAEMON_ONLY)
    return()
  endif()

  if(tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${library} ${RAPIDCHECK_LIBRARY}
      GTest::gmock GTest::gtest_main)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    # A fixed seed of the property tests, so that every run gives the same verdict.
    set_tests_properties(${name}_test PROPERTIES TIMEOUT ${CHICORYLINK_TEST_TIMEOUT}
      ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
  if(benchmarks)
    add_executable(${name}_benchmark ${benchmarks})
    target_link_libraries(${name}_benchmark PRIVATE ${library} benchmark::benchmark)
  endif()
endfunction()
