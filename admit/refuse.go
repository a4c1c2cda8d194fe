package admit

// TakeQueued removes all queued requests and returns them, for the caller to refuse: no request may start at the server any more.
func (s *Slots) TakeQueued() []*SlotRequest {
	queued := s.queue
	s.queue = nil
	return queued
}
