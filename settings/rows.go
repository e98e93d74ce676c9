package settings

import (
	"encoding/json"
	"fmt"

	"github.com/mangodrum/mangodrum/errs"
)

func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err)) // all values of the encoded types can be encoded
	}
	return data
}

func decodeRow[T any](key string, data []byte) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, errs.Wrap(err, errs.Failed, "restore the row from a backup or report this bug", "row %s is corrupt", key)
	}
	return value, nil
}

// copyObject is the content of an object that holds the full copy of a version.
type copyObject struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	YAML   string `json:"yaml"`
}

func encodeCopy(number uint64, tree *Tree) []byte {
	return encodeRow(copyObject{Number: number, Hash: tree.Hash(), YAML: string(tree.Encode())})
}

func decodeCopy(name string, data []byte) (uint64, *Tree, error) {
	object, err := decodeRow[copyObject](name, data)
	if err != nil {
		return 0, nil, err
	}
	tree, err := DecodeVersion(object.Number, object.Hash, []byte(object.YAML))
	return object.Number, tree, err
}

// DecodeVersion decodes the canonical encoding of the tree of a version and
// checks its hash.
func DecodeVersion(number uint64, hash string, yaml []byte) (*Tree, error) {
	tree, err := Decode(fmt.Sprintf("settings version %d", number), yaml)
	if err != nil {
		return nil, err
	}
	return tree, checkHash(number, hash, tree)
}

func checkHash(number uint64, want string, tree *Tree) error {
	if have := tree.Hash(); have != want {
		return errs.New(errs.Failed, "fetch the whole tree of the version again",
			"settings version %d has hash %.12s, not %.12s", number, have, want)
	}
	return nil
}
