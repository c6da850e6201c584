package simulation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// LinkFault is an interruption between two cells; an empty name is any.
type LinkFault struct {
	From, To    string
	AnswersOnly bool // only answers are lost: what was asked is carried out
	DeliverLate bool // messages arrive late, when their senders have given up
	Until       time.Time
}

func (l *LinkFault) concerns(from, to string) bool {
	return time.Now().Before(l.Until) && (l.From == "" || l.From == from) && (l.To == "" || l.To == to)
}

// AddLinkFault adds an interruption between cells.
func (f *Federation) AddLinkFault(fault LinkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkFaults = append(f.linkFaults, fault)
}

func (f *Federation) activeLinkFault(from, to string) (LinkFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.linkFaults {
		if fault.concerns(from, to) {
			return fault, true
		}
	}
	return LinkFault{}, false
}

// cellDelivery is how a message travels to another cell.
type cellDelivery struct {
	delay     time.Duration
	duplicate bool          // it arrives a second time
	lateness  time.Duration // of the second time
}

func (f *Federation) drawDelivery() cellDelivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cellDelivery{
		delay:     time.Duration(5+f.random.IntN(40)) * time.Millisecond,
		duplicate: f.random.IntN(10) == 0,
		lateness:  milliseconds(f.random, 20_000),
	}
}

// exchange carries a message to another cell's controllers, one after the other, and the answer
// back. One in ten arrives a second time, later.
func (f *Federation) exchange(ctx context.Context, to string, message offload.Message) (offload.Message, error) {
	body := wire.MustEncode(message)
	delivery := f.drawDelivery()
	time.Sleep(delivery.delay)
	fault, faulty := f.activeLinkFault(message.Cell, to)
	if delivery.duplicate || faulty && fault.DeliverLate {
		f.Regions[to].wg.Go(func() {
			lateness := delivery.lateness
			if faulty {
				lateness += time.Until(fault.Until)
			}
			time.Sleep(lateness)
			_, _ = f.deliver(context.WithoutCancel(ctx), to, body)
		})
	}
	if faulty && !fault.AnswersOnly {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	reply, err := f.deliver(ctx, to, body)
	if _, lost := f.activeLinkFault(to, message.Cell); lost || faulty {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	return reply, err
}

// deliver gives a message to the first controller of a cell that answers it.
func (f *Federation) deliver(ctx context.Context, to string, body []byte) (offload.Message, error) {
	var message offload.Message
	if err := wire.Decode(body, &message); err != nil {
		return offload.Message{}, err
	}
	region := f.Regions[to]
	var errs []error
	for _, controller := range region.controllers {
		region.mu.Lock()
		handler, answers, process := controller.cellHandler, controller.isAlive(), controller.alive
		region.mu.Unlock()
		if handler == nil || !answers {
			continue
		}
		reply, err := handler(ctx, message)
		if !process.Load() {
			err = errConnectionReset
		}
		if err == nil {
			return f.carryBack(len(body), reply)
		}
		errs = append(errs, err)
	}
	return offload.Message{}, fmt.Errorf("cell %s: %w", to, errors.Join(append(errs, errConnectionReset)...))
}

// carryBack counts a message with its answer, and gives the answer as it arrives.
func (f *Federation) carryBack(messageBytes int, reply offload.Message) (offload.Message, error) {
	body := wire.MustEncode(reply)
	f.mu.Lock()
	f.messages.messages++
	f.messages.bytes += messageBytes + len(body)
	f.mu.Unlock()
	var received offload.Message
	err := wire.Decode(body, &received)
	return received, err
}
