# Functions that define the targets of modules, their unit tests and programs.

add_library(agatetide_options INTERFACE)
add_library(agatetide::options ALIAS agatetide_options)
target_compile_options(agatetide_options INTERFACE -Wall -Wextra -Werror
  # GCC 12 reports false positives for these in inlined library code and in
  # coroutine frames.
  -Wno-maybe-uninitialized -Wno-restrict -Wno-mismatched-new-delete
  # Members that an initializer omits have default member initializers.
  -Wno-missing-field-initializers)
target_compile_definitions(agatetide_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
if(AGATETIDE_SANITIZER)
  target_compile_options(agatetide_options INTERFACE
    -fsanitize=${AGATETIDE_SANITIZER} -fno-omit-frame-pointer)
  target_link_options(agatetide_options INTERFACE -fsanitize=${AGATETIDE_SANITIZER})
endif()

# agatetide_module(<name> LINK <targets>...): library agatetide::<name> from
# src/agatetide/<name>/*.cpp; files named *_test.cpp form the test program
# test_<name>.
function(agatetide_module name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/agatetide/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "(_test|/main)\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(agatetide_${name} STATIC ${sources})
  add_library(agatetide::${name} ALIAS agatetide_${name})
  set_target_properties(agatetide_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(agatetide_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:include>)
  target_include_directories(agatetide_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(agatetide_${name} PUBLIC ${arg_LINK} Threads::Threads
    PRIVATE $<BUILD_INTERFACE:agatetide::options>)
  if(AGATETIDE_TESTS AND tests)
    add_executable(test_${name} ${tests})
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(test_${name} PRIVATE agatetide::${name}
      agatetide::options PkgConfig::criterion)
    add_test(NAME ${name} COMMAND test_${name})
  endif()
endfunction()

# agatetide_api(<name>): library agatetide::<name> from the committed
# generated code.
function(agatetide_api name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/generated/*.cc)
  add_library(agatetide_${name} STATIC ${sources})
  add_library(agatetide::${name} ALIAS agatetide_${name})
  target_include_directories(agatetide_${name} SYSTEM PUBLIC ${PROJECT_SOURCE_DIR}/generated)
  target_link_libraries(agatetide_${name} PUBLIC protobuf::libprotobuf)
  if(AGATETIDE_SANITIZER)
    target_compile_options(agatetide_${name} PRIVATE -fsanitize=${AGATETIDE_SANITIZER})
  endif()
endfunction()

# agatetide_program(<name> [SOURCES <files>] [SOURCES_IN <folder>] LINK <targets>...):
# executable <name> from the given files, or from all .cpp files of <folder>
# except *_test.cpp.
function(agatetide_program name)
  cmake_parse_arguments(arg "" "SOURCES_IN" "SOURCES;LINK" ${ARGN})
  if(arg_SOURCES_IN)
    file(GLOB arg_SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${arg_SOURCES_IN}/*.cpp)
    list(FILTER arg_SOURCES EXCLUDE REGEX "_test\\.cpp$")
  endif()
  add_executable(${name} ${arg_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_definitions(${name} PRIVATE AGATETIDE_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${arg_LINK} agatetide::options)
endfunction()
