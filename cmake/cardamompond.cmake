# Libraries and the helper functions that declare packages, tests and benchmarks.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS fiber context json url)
find_package(OpenSSL REQUIRED)
# Debian's CapnProtoConfig.cmake asks for libatomic, which the libraries do not need here.
set(CAPNP_LIBRARIES)
foreach(name capnp-rpc capnp kj-gzip kj-async kj)
  find_library(CAPNP_LIBRARY_${name} ${name} REQUIRED)
  list(APPEND CAPNP_LIBRARIES ${CAPNP_LIBRARY_${name}})
endforeach()
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(LOG4CPLUS_LIBRARY log4cplus REQUIRED)
find_library(PROMETHEUS_CORE_LIBRARY prometheus-cpp-core REQUIRED)
find_library(CPPUTEST_LIBRARY CppUTest REQUIRED)
find_library(CPPUTEST_EXT_LIBRARY CppUTestExt REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

add_library(cardamompond_flags INTERFACE)
target_compile_options(cardamompond_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_compile_definitions(cardamompond_flags INTERFACE TOML_HEADER_ONLY=1 BOOST_ASIO_NO_DEPRECATED=1)
# toml++ 3.3 asserts that a table header starts with a key character, which "[" alone at the end of a line does not;
# without the assertion the same function reports the fault as a parse error. The definition is the same for all
# sources because the parser is an inline function. A build with NDEBUG ignores it and must not be used.
target_compile_options(cardamompond_flags INTERFACE "-DTOML_ASSERT(expr)=static_cast<void>(0)")
target_link_libraries(cardamompond_flags INTERFACE Threads::Threads)

# cardamompond_library(NAME DEPENDS other packages LINK external libraries): one package of the workspace, from
# include/cardamompond/NAME and src/*.cpp.
function(cardamompond_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  if(sources)
    add_library(cardamompond_${name} STATIC ${sources})
    target_include_directories(cardamompond_${name} PUBLIC include)
    target_link_libraries(cardamompond_${name} PUBLIC cardamompond_flags ${ARG_LINK})
    foreach(dependency ${ARG_DEPENDS})
      target_link_libraries(cardamompond_${name} PUBLIC cardamompond_${dependency})
    endforeach()
  else()
    add_library(cardamompond_${name} INTERFACE)
    target_include_directories(cardamompond_${name} INTERFACE include)
    target_link_libraries(cardamompond_${name} INTERFACE cardamompond_flags ${ARG_LINK})
    foreach(dependency ${ARG_DEPENDS})
      target_link_libraries(cardamompond_${name} INTERFACE cardamompond_${dependency})
    endforeach()
  endif()
endfunction()

# cardamompond_test(NAME SOURCES files DEPENDS packages): one CppUTest binary. RapidCheck runs with a fixed seed.
function(cardamompond_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LINK" ${ARGN})
  add_executable(${name} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp ${ARG_SOURCES})
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${name} PRIVATE cardamompond_${dependency})
  endforeach()
  target_link_libraries(${name} PRIVATE cardamompond_flags ${ARG_LINK} ${RAPIDCHECK_LIBRARY} ${CPPUTEST_EXT_LIBRARY}
                                        ${CPPUTEST_LIBRARY})
  # CppUTest replaces operator new with macros; RapidCheck and the standard library do not compile under them.
  target_compile_definitions(${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=42" TIMEOUT ${ARG_TIMEOUT})
endfunction()
