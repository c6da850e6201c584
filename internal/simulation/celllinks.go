package simulation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// LinkFault is a fault of the link between two cells. An empty cell name matches any cell.
type LinkFault struct {
	From, To      string
	ResponsesOnly bool // only responses are lost: the receiver still handles the messages
	DeliverLate   bool // messages arrive after the fault ends, when their senders have timed out
	Until         time.Time
}

// affects reports whether the fault is active and matches messages between two cells.
func (l *LinkFault) affects(from, to string) bool {
	return time.Now().Before(l.Until) && (l.From == "" || l.From == from) && (l.To == "" || l.To == to)
}

// AddLinkFault adds a fault of the links between cells.
func (f *Federation) AddLinkFault(fault LinkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkFaults = append(f.linkFaults, fault)
}

// activeLinkFault returns the first active fault that matches messages between two cells.
func (f *Federation) activeLinkFault(from, to string) (LinkFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.linkFaults {
		if fault.affects(from, to) {
			return fault, true
		}
	}
	return LinkFault{}, false
}

// cellDelivery is how the link delivers one message to another cell.
type cellDelivery struct {
	delay     time.Duration
	duplicate bool          // the link delivers the message a second time
	lateDelay time.Duration // before the late or second delivery; under a fault it counts from the end of the fault
}

func (f *Federation) randomDelivery() cellDelivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cellDelivery{
		delay:     time.Duration(5+f.random.IntN(40)) * time.Millisecond,
		duplicate: f.random.IntN(10) == 0,
		lateDelay: milliseconds(f.random, 20_000),
	}
}

// exchange sends a message to another cell, trying its controllers one after the other, and returns the response. One
// message in ten is delivered a second time, up to 20 s later, or up to 20 s after the end of a fault that affects
// messages to that cell. Under a fault with DeliverLate every message is delivered then, even if the first delivery was
// lost. If a fault loses the message or the response, exchange blocks until ctx ends.
func (f *Federation) exchange(ctx context.Context, to string, message offload.Message) (offload.Message, error) {
	body := wire.MustEncode(message)
	delivery := f.randomDelivery()
	time.Sleep(delivery.delay)
	fault, faulty := f.activeLinkFault(message.Cell, to)
	if delivery.duplicate || faulty && fault.DeliverLate {
		f.Regions[to].wg.Go(func() {
			lateDelay := delivery.lateDelay
			if faulty {
				lateDelay += time.Until(fault.Until)
			}
			time.Sleep(lateDelay)
			_, _ = f.deliver(context.WithoutCancel(ctx), to, body)
		})
	}
	if faulty && !fault.ResponsesOnly {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	response, err := f.deliver(ctx, to, body)
	if _, lost := f.activeLinkFault(to, message.Cell); lost || faulty {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	return response, err
}

// deliver passes a message to the controllers of a cell, one after the other, until one of them handles it without
// an error, and returns its response.
func (f *Federation) deliver(ctx context.Context, to string, body []byte) (offload.Message, error) {
	var message offload.Message
	if err := wire.Decode(body, &message); err != nil {
		return offload.Message{}, err
	}
	region := f.Regions[to]
	var errs []error
	for _, controller := range region.controllers {
		region.mu.Lock()
		handler, running, process := controller.cellHandler, controller.isAlive(), controller.alive
		region.mu.Unlock()
		if handler == nil || !running {
			continue
		}
		response, err := handler(ctx, message)
		if !process.Load() {
			err = errConnectionReset
		}
		if err == nil {
			return f.returnResponse(len(body), response)
		}
		errs = append(errs, err)
	}
	return offload.Message{}, fmt.Errorf("cell %s: %w", to, errors.Join(append(errs, errConnectionReset)...))
}

// returnResponse counts a message and its response, and returns the response encoded and decoded again, as the sender
// receives it.
func (f *Federation) returnResponse(messageBytes int, response offload.Message) (offload.Message, error) {
	body := wire.MustEncode(response)
	f.mu.Lock()
	f.messages.messages++
	f.messages.bytes += messageBytes + len(body)
	f.mu.Unlock()
	var received offload.Message
	err := wire.Decode(body, &received)
	return received, err
}
