package table

import "strings"

// conditionFailed is the reason code of a failed condition in a cancelled transaction.
const conditionFailed = "ConditionalCheckFailed"

func keyOf(table string, key attributes) (record, *failure) {
	partition, sort := key[partitionAttribute].S, key[sortAttribute].S
	if partition == nil || sort == nil || *partition == "" || *sort == "" {
		return record{}, invalid("the key needs the strings partition and sort")
	}
	return record{table: table, partition: *partition, sort: *sort}, nil
}

func (t *Table) get(req *request) (any, *failure) {
	key, err := keyOf(req.TableName, req.Key)
	if err != nil {
		return nil, err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	found, _ := t.records.Get(key)
	return getResponse{Item: found.item}, nil
}

func (t *Table) query(req *request) (any, *failure) {
	if req.Limit <= 0 || req.Limit > maxPage {
		req.Limit = maxPage
	}
	start, err := req.queryStart()
	if err != nil {
		return nil, err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	page := queryResponse{Items: []attributes{}}
	t.records.AscendGreaterOrEqual(start, func(r record) bool {
		if r.table != start.table || r.partition != start.partition {
			return false
		}
		if len(page.Items) == req.Limit {
			page.LastEvaluatedKey = lastKey(page.Items)
			return false
		}
		var ok bool
		if ok, err = req.evaluate(req.KeyConditionExpression, r.item); ok {
			page.Items = append(page.Items, r.item)
		}
		return err == nil
	})
	page.Count, page.ScannedCount = len(page.Items), len(page.Items)
	return page, err
}

// queryStart returns a lower bound of the records that can satisfy the key condition. The condition
// is "partition = :value", optionally followed by " AND sort > :value".
func (r *request) queryStart() (record, *failure) {
	parts := strings.Fields(r.KeyConditionExpression)
	if len(parts) < 3 || r.resolveName(parts[0]) != partitionAttribute || parts[1] != "=" {
		return record{}, invalid("the key condition must open with the partition")
	}
	partition := r.ExpressionAttributeValues[parts[2]].S
	if partition == nil {
		return record{}, invalid("the partition must be a string")
	}
	start := record{table: r.TableName, partition: *partition}
	if len(parts) == 7 && r.resolveName(parts[4]) == sortAttribute && parts[5] == ">" {
		if after := r.ExpressionAttributeValues[parts[6]].S; after != nil {
			start.sort = *after
		}
	}
	return start, nil
}

func lastKey(items []attributes) attributes {
	last := items[len(items)-1]
	return attributes{partitionAttribute: last[partitionAttribute], sortAttribute: last[sortAttribute]}
}

func (t *Table) writeOne(item transactItem) *failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok, err := t.check(item)
	if err != nil {
		return err
	}
	if !ok {
		return failed("ConditionalCheckFailedException", "The conditional request failed")
	}
	t.store(item)
	return nil
}

func (t *Table) transact(items []transactItem) *failure {
	if len(items) == 0 || len(items) > maxTransact {
		return invalid("a transaction takes 1 to 100 items")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := checkDistinct(items); err != nil {
		return err
	}
	reasons, err := t.checkAll(items)
	if err != nil {
		return err
	}
	if reasons != nil {
		cancelled := failed("TransactionCanceledException", "Transaction cancelled")
		cancelled.CancellationReasons = reasons
		return cancelled
	}
	for _, item := range items {
		t.store(item)
	}
	return nil
}

// checkDistinct rejects a transaction with two operations on one item.
func checkDistinct(items []transactItem) *failure {
	seen := map[itemKey]bool{}
	for _, item := range items {
		key, err := item.key()
		if err != nil {
			return err
		}
		if seen[key.itemKey()] {
			return invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[key.itemKey()] = true
	}
	return nil
}

// checkAll checks the conditions of all items. If any fails, it returns one reason per item, else
// nil.
func (t *Table) checkAll(items []transactItem) ([]reason, *failure) {
	reasons := make([]reason, len(items))
	cancelled := false
	for i, item := range items {
		ok, err := t.check(item)
		if err != nil {
			return nil, err
		}
		reasons[i].Code = "None"
		if !ok {
			reasons[i] = reason{Code: conditionFailed, Message: "The conditional request failed"}
			cancelled = true
		}
	}
	if !cancelled {
		return nil, nil
	}
	return reasons, nil
}

// itemKey identifies one record.
type itemKey struct{ table, partition, sort string }

func (r record) itemKey() itemKey { return itemKey{r.table, r.partition, r.sort} }

// key returns the key of the operation, as a record without its item.
func (i transactItem) key() (record, *failure) {
	switch {
	case i.Put != nil:
		return keyOf(i.Put.TableName, i.Put.Item)
	case i.Delete != nil:
		return keyOf(i.Delete.TableName, i.Delete.Key)
	case i.ConditionCheck != nil:
		return keyOf(i.ConditionCheck.TableName, i.ConditionCheck.Key)
	}
	return record{}, invalid("empty item in a transaction")
}

func (i transactItem) request() *request {
	switch {
	case i.Put != nil:
		return i.Put
	case i.Delete != nil:
		return i.Delete
	}
	return i.ConditionCheck
}

// check validates the item and evaluates its condition against the stored record. The caller holds
// mu.
func (t *Table) check(item transactItem) (bool, *failure) {
	key, err := item.key()
	if err != nil {
		return false, err
	}
	if item.Put != nil && item.Put.Item.size() > maxItemBytes {
		return false, invalid("Item size has exceeded the maximum allowed size")
	}
	if item.Put != nil && !item.Put.Item.valid() {
		return false, invalid("Supplied AttributeValue is empty")
	}
	found, _ := t.records.Get(key)
	req := item.request()
	return req.evaluate(req.ConditionExpression, found.item)
}

func (t *Table) store(item transactItem) {
	key, _ := item.key()
	switch {
	case item.Put != nil:
		key.item = item.Put.Item
		t.records.ReplaceOrInsert(key)
	case item.Delete != nil:
		t.records.Delete(key)
	}
}

// valid reports whether each value has exactly one member set.
func (a attributes) valid() bool {
	for _, v := range a {
		members := 0
		for _, text := range []*string{v.S, v.N, v.B} {
			if text != nil {
				members++
			}
		}
		if members != 1 {
			return false
		}
	}
	return true
}

func (a attributes) size() int {
	n := 0
	for name, v := range a {
		n += len(name)
		for _, text := range []*string{v.S, v.N, v.B} {
			if text != nil {
				n += len(*text)
			}
		}
	}
	return n
}
