package resolver

import (
	"maps"

	"github.com/pelletier/go-toml/v2"
)

// teamsAPiece is how many teams are decoded at once.
const teamsAPiece = 64

// config decodes the document. Teams are decoded in pieces: the decoder looks
// for each table among all its siblings, so thousands of teams at once take
// time by the square of their number, in every process at every change.
func (doc Document) config() (Config, error) {
	rest, pieces := doc.pieces()
	var config Config
	if err := toml.Unmarshal([]byte(rest.text(false)), &config); err != nil {
		return Config{}, err
	}
	for _, piece := range pieces {
		var part Config
		if err := toml.Unmarshal([]byte(piece.text(false)), &part); err != nil {
			return Config{}, err
		}
		if config.Teams == nil {
			config.Teams = map[string]Team{}
		}
		maps.Copy(config.Teams, part.Teams)
	}
	return config, nil
}

// pieces splits the document into documents of some teams each, with all
// values of a team in one of them, and what is left.
func (doc Document) pieces() (rest Document, pieces []Document) {
	rest = newDocument()
	pieceOf := map[string]int{}
	for _, value := range doc.values {
		if len(value.Path) < 2 || value.Path[0] != teamsKey {
			rest.set(value)
			continue
		}
		at, known := pieceOf[value.Path[1]]
		if !known {
			at = len(pieceOf) / teamsAPiece
			pieceOf[value.Path[1]] = at
		}
		if at == len(pieces) {
			pieces = append(pieces, newDocument())
		}
		pieces[at].set(value)
	}
	return rest, pieces
}
