// Package api holds the protobuf definitions of samphireflow. The generated code in v1 is committed.
package api

//go:generate sh -c "cd .. && protoc --go_out=. --go_opt=module=samphireflow --twirp_out=. --twirp_opt=module=samphireflow api/v1/*.proto"
