# protoc and gRPC, for the parts that use gRPC.
include_guard(GLOBAL)
streampick_find_package(Protobuf)
streampick_find_package(gRPC CONFIG)

# Sets OUT to the files that protoc and gRPC's plug-in generate from a .proto file under proto/.
function(streampick_proto out proto)
  string(REGEX REPLACE "\\.proto$" "" stem ${proto})
  set(dir ${CMAKE_CURRENT_BINARY_DIR}/proto)
  set(made ${dir}/${stem}.pb.cc ${dir}/${stem}.pb.h ${dir}/${stem}.grpc.pb.cc ${dir}/${stem}.grpc.pb.h)
  add_custom_command(OUTPUT ${made}
    COMMAND ${CMAKE_COMMAND} -E make_directory ${dir}
    COMMAND protobuf::protoc -I ${CMAKE_CURRENT_SOURCE_DIR}/proto --cpp_out=${dir} --grpc_out=${dir}
      --plugin=protoc-gen-grpc=$<TARGET_FILE:gRPC::grpc_cpp_plugin> ${proto}
    DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/proto/${proto} VERBATIM)
  set(${out} ${made} PARENT_SCOPE)
endfunction()
