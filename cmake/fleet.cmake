# The membership view of the fleet. Its core does no I/O; its datagrams are protobuf messages, without gRPC.
streampick_find_package(Protobuf)
set(streampick_messages ${CMAKE_CURRENT_BINARY_DIR}/membership)
# Sets OUT to the source file that protoc generates from proto/streampick/NAME.proto.
function(streampick_plain_proto name out)
  set(made ${streampick_messages}/streampick/${name}.pb)
  add_custom_command(OUTPUT ${made}.cc ${made}.h
    COMMAND ${CMAKE_COMMAND} -E make_directory ${streampick_messages}
    COMMAND protobuf::protoc -I ${CMAKE_CURRENT_SOURCE_DIR}/proto --cpp_out=${streampick_messages}
      streampick/${name}.proto
    DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/proto/streampick/${name}.proto VERBATIM)
  set_source_files_properties(${made}.cc PROPERTIES COMPILE_OPTIONS "-w")
  set(${out} ${made}.cc PARENT_SCOPE)
endfunction()
streampick_plain_proto(membership streampick_membership_proto)
# Records and addresses, which the settings need as well: no codec, no protocol.
add_library(streampick_membership_records STATIC src/membership/address.cpp src/membership/record.cpp)
target_compile_features(streampick_membership_records PUBLIC cxx_std_20)
target_include_directories(streampick_membership_records PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_link_libraries(streampick_membership_records PUBLIC Boost::headers)
set_target_properties(streampick_membership_records PROPERTIES POSITION_INDEPENDENT_CODE ON)
add_library(streampick_membership STATIC src/membership/anti_entropy.cpp src/membership/bounds.cpp
  src/membership/change_log.cpp src/membership/dissemination_queue.cpp src/membership/failure_detector.cpp
  src/membership/gossip_protocol.cpp src/membership/member_table.cpp src/membership/name_conflict_monitor.cpp
  src/membership/protocol_context.cpp src/membership/reconnect_prober.cpp
  src/membership/suspicion.cpp src/membership/view_summary.cpp src/membership/view_updates.cpp
  src/membership/wire.cpp ${streampick_membership_proto})
target_compile_features(streampick_membership PUBLIC cxx_std_20)
target_include_directories(streampick_membership PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_include_directories(streampick_membership SYSTEM PRIVATE ${streampick_messages} ${XXHASH_INCLUDE})
target_link_libraries(streampick_membership PUBLIC streampick_membership_records PRIVATE protobuf::libprotobuf)

# Limits that routers share by leases. The core does no I/O.
streampick_plain_proto(shares streampick_shares_proto)
set(streampick_shares_core src/shares/candidate_order.cpp src/shares/election.cpp src/shares/fair_division.cpp
  src/shares/lease_granter.cpp src/shares/lease_holder.cpp src/shares/lease_protocol.cpp src/shares/lease_table.cpp)
add_library(streampick_shares STATIC ${streampick_shares_core} src/shares/wire.cpp
  ${streampick_shares_proto})
target_include_directories(streampick_shares SYSTEM PRIVATE ${streampick_messages} ${XXHASH_INCLUDE})
target_link_libraries(streampick_shares PUBLIC streampick_membership PRIVATE protobuf::libprotobuf)

# Many protocol instances on virtual time, for tests, measurements and plots. The router does not link it.
add_library(streampick_emulator STATIC EXCLUDE_FROM_ALL src/emulator/simulated_network.cpp)
target_link_libraries(streampick_emulator PUBLIC streampick_membership streampick_shares)
# The [fleet] and [shares] sections of the options file, which the client library parses as well: no codec, no core.
target_sources(streampick_platform PRIVATE src/fleet/options.cpp src/fleet/share_options.cpp)
target_include_directories(streampick_platform SYSTEM PRIVATE ${XXHASH_INCLUDE})
target_compile_definitions(streampick_platform PUBLIC STREAMPICK_WITH_FLEET)
target_link_libraries(streampick_platform PUBLIC streampick_membership_records)
# The membership protocol on a socket, and the daemon's use of the view.
add_library(streampick_fleet_parts STATIC src/fleet/demand_sampler.cpp src/fleet/fleet.cpp
  src/fleet/fleet_status.cpp
  src/fleet/shared_limits.cpp src/fleet/shared_limits_status.cpp src/membership/gossip_socket.cpp
  src/membership/send_budget.cpp)
target_link_libraries(streampick_fleet_parts PUBLIC streampick_membership streampick_shares streampick_platform)
target_link_libraries(streampick_daemon PUBLIC streampick_fleet_parts)
if(STREAMPICK_RESP)
  # The testbed of router processes, and the tool that runs its scripts.
  add_library(streampick_testbed STATIC EXCLUDE_FROM_ALL src/testbed/bed.cpp src/testbed/chart.cpp src/testbed/relay.cpp
    src/testbed/script.cpp src/testbed/stream_relay.cpp src/testbed/views.cpp)
  target_link_libraries(streampick_testbed PUBLIC streampick_standin streampick_membership streampick_options)
  add_executable(streampick_fleet tools/fleet.cpp)
  target_link_libraries(streampick_fleet PRIVATE streampick_testbed CLI11::CLI11)
  list(APPEND streampick_parts streampick_testbed streampick_fleet)
endif()
list(APPEND streampick_parts streampick_fleet_parts streampick_membership streampick_membership_records streampick_shares streampick_emulator)
