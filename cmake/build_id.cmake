# Computes the id of a build: the first 12 hex digits of a SHA-256 digest over
# the relative paths and the contents of the product's sources, in the order of
# the paths. It depends on neither git nor the place of the tree.
#   cmake -DSOURCE_DIR=DIR [-DHEADER=FILE] -P cmake/build_id.cmake
# Prints the id, or writes it into the header FILE, whose time changes only with
# the id.
cmake_minimum_required(VERSION 3.25)

file(GLOB_RECURSE files LIST_DIRECTORIES false RELATIVE "${SOURCE_DIR}"
  "${SOURCE_DIR}/chicorystep/*" "${SOURCE_DIR}/platform/*")
list(APPEND files CMakeLists.txt)
list(SORT files COMPARE STRING CASE SENSITIVE)
set(digests "")
foreach(file IN LISTS files)
  file(SHA256 "${SOURCE_DIR}/${file}" digest)
  string(APPEND digests "${digest} ${file}\n")
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING "${digest}" 0 12 id)

if(NOT HEADER)
  execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${id}")
  return()
endif()
set(text "#define CHICORYSTEP_BUILD_ID \"${id}\"\n")
set(written "")
if(EXISTS "${HEADER}")
  file(READ "${HEADER}" written)
endif()
if(NOT written STREQUAL text)
  file(WRITE "${HEADER}" "${text}")
endif()
