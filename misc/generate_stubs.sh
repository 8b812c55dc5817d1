#!/bin/sh
# Regenerates the committed gRPC stubs. Requires grpcio-tools, which only this script
# uses.
set -eu
cd "$(dirname "$0")/../gypsumlock/peering"
python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. --grpc_python_out=. mesh.proto
sed -i 's/^import mesh_pb2 as/from gypsumlock.peering import mesh_pb2 as/' mesh_pb2_grpc.py
