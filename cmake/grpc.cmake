# The adaptor for gRPC C++ stubs. It uses the client library's public API and adds gRPC and protobuf.
include(cmake/proto.cmake)

# A shared library, so that the code generated from route.proto is registered with protobuf only once per process.
streampick_proto(streampick_route_sources streampick/route.proto)
add_library(streampick_grpc SHARED src/grpc/answer.cpp src/grpc/channel.cpp src/grpc/key_template.cpp
  src/grpc/route_table.cpp src/grpc/routed_call.cpp ${streampick_route_sources})
add_library(streampick::grpc ALIAS streampick_grpc)
target_compile_features(streampick_grpc PUBLIC cxx_std_20)
target_include_directories(streampick_grpc PUBLIC
  $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_include_directories(streampick_grpc SYSTEM PUBLIC
  $<BUILD_INTERFACE:${CMAKE_CURRENT_BINARY_DIR}/proto>)

# Installed with the client library, with route.proto, which services import to annotate their methods, and with the
# header generated from it: `streampick_add_grpc_service` in streampick-config.cmake compiles such a service.
install(TARGETS streampick_grpc EXPORT streampick-grpc-targets)
install(EXPORT streampick-grpc-targets NAMESPACE streampick:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/streampick)
install(FILES proto/streampick/route.proto DESTINATION ${CMAKE_INSTALL_DATADIR}/streampick/proto/streampick)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/proto/streampick/route.pb.h
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/streampick)
target_include_directories(streampick_grpc PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_link_libraries(streampick_grpc PUBLIC streampick_client gRPC::grpc++ protobuf::libprotobuf
  PRIVATE streampick_options)
target_link_options(streampick_grpc PRIVATE -Wl,--exclude-libs,ALL)
set_target_properties(streampick_options PROPERTIES POSITION_INDEPENDENT_CODE ON)
set_target_properties(streampick_grpc PROPERTIES VERSION ${PROJECT_VERSION} SOVERSION 0 EXPORT_NAME grpc)
set_source_files_properties(${streampick_route_sources} PROPERTIES COMPILE_OPTIONS "-w")
list(APPEND streampick_parts streampick_grpc)

# A sample service for tests, the example and the measurements.
streampick_proto(streampick_tiles_sources streampick/tiles.proto)
add_library(streampick_tiles STATIC EXCLUDE_FROM_ALL ${streampick_tiles_sources})
target_link_libraries(streampick_tiles PUBLIC streampick_grpc)
