package golden_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sableusher/internal/peerrpc/peerpb"
)

// TestPeerMessages checks that messages between controllers keep their names, field numbers and encoding.
func TestPeerMessages(t *testing.T) {
	var out strings.Builder
	for _, m := range []proto.Message{
		&peerpb.HeardRequest{}, &peerpb.HeardReply{}, &peerpb.ImagesRequest{}, &peerpb.ImagesReply{},
		&peerpb.Image{}, &peerpb.CellMessage{},
	} {
		writeProtoMessage(t, &out, m)
	}
	writeProtoServices(&out, (&peerpb.CellMessage{}).ProtoReflect().Descriptor().ParentFile().Services())
	for _, method := range []string{
		peerpb.Peer_Heard_FullMethodName, peerpb.Peer_Images_FullMethodName, peerpb.Cells_Exchange_FullMethodName,
	} {
		fmt.Fprintf(&out, "path %s\n", method)
	}
	checkText(t, "peers.txt", out.String())
}

// writeProtoMessage writes the fields of a message, and its encoding with all fields set. The encoding must decode to
// the same message, which must encode to the same bytes again.
func writeProtoMessage(t *testing.T, out *strings.Builder, m proto.Message) {
	t.Helper()
	descriptor := m.ProtoReflect().Descriptor()
	fmt.Fprintf(out, "message %s\n", descriptor.FullName())
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		fmt.Fprintf(out, "  field %s %s %s = %d\n", field.Cardinality(), field.Kind(), field.Name(), field.Number())
	}
	count := 0
	fillProto(m.ProtoReflect(), &count)
	deterministic := proto.MarshalOptions{Deterministic: true}
	encoded, err := deterministic.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "  bytes %x\n", encoded)
	decoded := m.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(encoded, decoded); err != nil || !proto.Equal(m, decoded) {
		t.Errorf("%s: %v was decoded as %v, %v", descriptor.FullName(), m, decoded, err)
	}
	if reencoded, err := deterministic.Marshal(decoded); err != nil || !bytes.Equal(reencoded, encoded) {
		t.Errorf("%s: decoded and encoded again: %x, %v", descriptor.FullName(), reencoded, err)
	}
}

// writeProtoServices writes the methods of the services with the types of their messages.
func writeProtoServices(out *strings.Builder, services protoreflect.ServiceDescriptors) {
	for i := range services.Len() {
		service := services.Get(i)
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			fmt.Fprintf(out, "method /%s/%s (%s) %s\n",
				service.FullName(), method.Name(), method.Input().FullName(), method.Output().FullName())
		}
	}
}

// fillProto sets all fields of a message. Their values are all different, except for booleans.
func fillProto(m protoreflect.Message, count *int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() {
			list := m.Mutable(field).List()
			for range 2 {
				list.Append(protoValue(field, list.NewElement, count))
			}
			continue
		}
		m.Set(field, protoValue(field, func() protoreflect.Value { return m.NewField(field) }, count))
	}
}

// protoValue returns a value for a field, or for an element of a list field. It increments the count, from which it
// derives the value. empty returns an empty message of the field's type.
func protoValue(field protoreflect.FieldDescriptor, empty func() protoreflect.Value, count *int) protoreflect.Value {
	*count++
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", *count))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "bytes-%d", *count))
	case protoreflect.MessageKind:
		value := empty()
		fillProto(value.Message(), count)
		return value
	default:
		panic(fmt.Sprintf("no value for %s", field.Kind()))
	}
}
