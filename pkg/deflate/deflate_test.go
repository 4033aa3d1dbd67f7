package deflate

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testLimit = 1 << 20

func TestExpandUndoesCompress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		compressed, err := Compress(data)
		if err != nil {
			t.Fatal(err)
		}
		expanded, err := Expand(compressed, testLimit)
		if err != nil || !bytes.Equal(expanded, data) {
			t.Fatalf("got %d bytes, error %v; want %d bytes", len(expanded), err, len(data))
		}
	})
}

// A small frame must not expand until memory is exhausted.
func TestExpandRejectsDataOverLimit(t *testing.T) {
	is := is.New(t)
	compressed, err := Compress(make([]byte, testLimit+1))
	is.NoErr(err)
	_, err = Expand(compressed, testLimit)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = Expand(compressed, testLimit+1)
	is.NoErr(err)
}

func TestCorruptDataIsAnError(t *testing.T) {
	is := is.New(t)
	compressed, err := Compress([]byte(strings.Repeat("route ", minRecordSize)))
	is.NoErr(err)
	_, err = Expand(compressed[:len(compressed)/2], testLimit)
	is.True(err != nil)
	_, err = UnpackRecord([]byte{compressedPrefix, 0xff, 0xff}, testLimit)
	is.True(err != nil)
}

func TestLargeRecordsAreCompressed(t *testing.T) {
	is := is.New(t)
	small := []byte(`{"roll":{"version":1}}`)
	large := []byte(`{"routes":"` + strings.Repeat("r-1234 /path/ ", minRecordSize) + `"}`)
	for _, document := range [][]byte{small, large} {
		record, err := PackRecord(document)
		is.NoErr(err)
		back, err := UnpackRecord(record, testLimit)
		is.NoErr(err)
		is.True(bytes.Equal(back, document))
	}
	record, err := PackRecord(large)
	is.NoErr(err)
	is.True(len(record)*5 < len(large))
}

// Records written uncompressed by earlier releases must remain readable.
func TestUncompressedRecordsAreRead(t *testing.T) {
	is := is.New(t)
	document := []byte(`{"routes":"` + strings.Repeat("r", minRecordSize) + `"}`)
	back, err := UnpackRecord(document, testLimit)
	is.NoErr(err)
	is.True(bytes.Equal(back, document))
}
