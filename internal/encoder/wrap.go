package encoder

// Of returns the frame that carries the message. It panics if the message is not a
// member of Frame, which is a programming error.
func Of(message any) *Frame {
	switch m := message.(type) {
	case *Offer:
		return &Frame{Body: &Frame_Offer{Offer: m}}
	case *Queued:
		return &Frame{Body: &Frame_Queued{Queued: m}}
	case *Granted:
		return &Frame{Body: &Frame_Granted{Granted: m}}
	case *Refused:
		return &Frame{Body: &Frame_Refused{Refused: m}}
	case *Run:
		return &Frame{Body: &Frame_Run{Run: m}}
	case *Head:
		return &Frame{Body: &Frame_Head{Head: m}}
	case *Chunk:
		return &Frame{Body: &Frame_Chunk{Chunk: m}}
	case *End:
		return &Frame{Body: &Frame_End{End: m}}
	case *Cancel:
		return &Frame{Body: &Frame_Cancel{Cancel: m}}
	case *Lookup:
		return &Frame{Body: &Frame_Lookup{Lookup: m}}
	case *Found:
		return &Frame{Body: &Frame_Found{Found: m}}
	case *Hello:
		return &Frame{Body: &Frame_Hello{Hello: m}}
	case *Welcome:
		return &Frame{Body: &Frame_Welcome{Welcome: m}}
	}
	return ofControl(message)
}

const notAMember = "encoder: the message is not a member of Frame"

func ofControl(message any) *Frame {
	switch m := message.(type) {
	case *DigestAsk:
		return &Frame{Body: &Frame_DigestAsk{DigestAsk: m}}
	case *Digests:
		return &Frame{Body: &Frame_Digests{Digests: m}}
	case *ConfigAsk:
		return &Frame{Body: &Frame_ConfigAsk{ConfigAsk: m}}
	case *ConfigBody:
		return &Frame{Body: &Frame_ConfigBody{ConfigBody: m}}
	case *EngineOrder:
		return &Frame{Body: &Frame_EngineOrder{EngineOrder: m}}
	case *EngineOrderDone:
		return &Frame{Body: &Frame_EngineOrderDone{EngineOrderDone: m}}
	case *MintAsk:
		return &Frame{Body: &Frame_MintAsk{MintAsk: m}}
	case *Minted:
		return &Frame{Body: &Frame_Minted{Minted: m}}
	case *PointerPut:
		return &Frame{Body: &Frame_PointerPut{PointerPut: m}}
	case *PointerAsk:
		return &Frame{Body: &Frame_PointerAsk{PointerAsk: m}}
	case *PointerAnswer:
		return &Frame{Body: &Frame_PointerAnswer{PointerAnswer: m}}
	case *PrefixAsk:
		return &Frame{Body: &Frame_PrefixAsk{PrefixAsk: m}}
	case *PrefixBody:
		return &Frame{Body: &Frame_PrefixBody{PrefixBody: m}}
	}
	panic(notAMember)
}
