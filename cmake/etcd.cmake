# The endpoint list from etcd: messages of etcd's API, the client, which runs on its own thread, and the stand-in
# server for tests.
include(cmake/proto.cmake)

streampick_proto(streampick_etcd_rpc streampick/etcd/rpc.proto)
streampick_proto(streampick_etcd_kv streampick/etcd/kv.proto)
add_library(streampick_etcd_proto STATIC ${streampick_etcd_rpc} ${streampick_etcd_kv})
target_include_directories(streampick_etcd_proto SYSTEM PUBLIC ${CMAKE_CURRENT_BINARY_DIR}/proto)
target_link_libraries(streampick_etcd_proto PUBLIC gRPC::grpc++ protobuf::libprotobuf)
target_compile_features(streampick_etcd_proto PUBLIC cxx_std_20)
set_source_files_properties(${streampick_etcd_rpc} ${streampick_etcd_kv} PROPERTIES COMPILE_OPTIONS "-w")

add_library(streampick_etcd STATIC src/roster/etcd/client.cpp)
target_link_libraries(streampick_etcd PUBLIC streampick_etcd_core streampick_options PRIVATE streampick_etcd_proto)

add_library(streampick_etcd_standin STATIC EXCLUDE_FROM_ALL src/standin/etcd/server.cpp)
target_link_libraries(streampick_etcd_standin PUBLIC streampick_etcd_core PRIVATE streampick_etcd_proto)
set_target_properties(streampick_etcd_core streampick_etcd_proto streampick_etcd streampick_etcd_standin
  PROPERTIES POSITION_INDEPENDENT_CODE ON)
list(APPEND streampick_parts streampick_etcd streampick_etcd_standin)

# streampick_roster publishes a server's entry in etcd and keeps its lease alive while the server runs.
add_executable(streampick_roster_tool tools/roster.cpp)
set_target_properties(streampick_roster_tool PROPERTIES OUTPUT_NAME streampick_roster)
target_link_libraries(streampick_roster_tool PRIVATE streampick_etcd_core streampick_etcd_proto CLI11::CLI11)
list(APPEND streampick_parts streampick_roster_tool)
