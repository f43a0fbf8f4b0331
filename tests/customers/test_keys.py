from bluebellrun.customers import Customer, CustomerRegistry, hash_key


def test_old_and_new_key_are_both_valid_during_rotation():
    customer = Customer("board", (hash_key("old"), hash_key("new")))
    registry = CustomerRegistry([customer])
    assert registry.find("old") is registry.find("new") is customer
    assert registry.find(hash_key("old")) is None


def test_a_key_that_is_no_longer_declared_is_unknown():
    registry = CustomerRegistry([Customer("board", (hash_key("new"),))])
    assert registry.find("old") is None
