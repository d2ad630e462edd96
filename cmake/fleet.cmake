# The fleet's view. Its core does no I/O; its datagrams are protobuf's, without gRPC.
streampick_find_package(Protobuf)
set(streampick_membership_proto ${CMAKE_CURRENT_BINARY_DIR}/membership)
add_custom_command(OUTPUT ${streampick_membership_proto}/streampick/membership.pb.cc
    ${streampick_membership_proto}/streampick/membership.pb.h
  COMMAND ${CMAKE_COMMAND} -E make_directory ${streampick_membership_proto}
  COMMAND protobuf::protoc -I ${CMAKE_CURRENT_SOURCE_DIR}/proto --cpp_out=${streampick_membership_proto}
    streampick/membership.proto
  DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/proto/streampick/membership.proto VERBATIM)
set_source_files_properties(${streampick_membership_proto}/streampick/membership.pb.cc PROPERTIES COMPILE_OPTIONS "-w")
add_library(streampick_membership STATIC src/membership/core.cpp src/membership/table.cpp src/membership/wire.cpp
  ${streampick_membership_proto}/streampick/membership.pb.cc)
target_compile_features(streampick_membership PUBLIC cxx_std_20)
target_include_directories(streampick_membership PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_include_directories(streampick_membership SYSTEM PRIVATE ${streampick_membership_proto} ${XXHASH_INCLUDE})
target_link_libraries(streampick_membership PUBLIC Boost::headers PRIVATE protobuf::libprotobuf)

# Many cores on virtual time: for tests, measurements and plots; nothing of the router links it.
add_library(streampick_emulator STATIC EXCLUDE_FROM_ALL src/emulator/datagrams.cpp)
target_link_libraries(streampick_emulator PUBLIC streampick_membership)
list(APPEND streampick_parts streampick_membership streampick_emulator)
