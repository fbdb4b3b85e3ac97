"""Choice among targets by each policy."""

from . import fleet, identity, job, placement, resource

CAPACITY = resource.Resources(16_000, 32_000, 0, 8)
DEMAND = resource.Resources(1000, 1000, 0, 1)


def fleet_of(**free):
    loads = fleet.Fleet()
    for name, (millicores, slots) in free.items():
        loads.add(
            fleet.TargetLoad(
                target=identity.TargetId(name),
                data_centre=identity.DataCentre('dc'),
                rack=identity.Rack('r'),
                capacity=CAPACITY,
                free=resource.Resources(millicores, 32_000, 0, slots),
                is_open=True,
            )
        )
    return loads


def choose(kind, loads, demand=DEMAND, avoid=None):
    request = placement.Request(demand, avoid)
    chosen = placement.POLICIES[kind].choose(loads, request)
    return chosen and chosen.target


def test_batch_goes_where_its_shape_matches_what_is_free():
    loads = fleet_of(few_slots=(9000, 1), few_processors=(4000, 6))
    wide = resource.Resources(4000, 4000, 0, 1)
    thin = resource.Resources(500, 4000, 0, 1)
    assert choose(job.Kind.BATCH, loads, wide) == 'few_slots'
    assert choose(job.Kind.BATCH, loads, thin) == 'few_processors'


def test_batch_takes_the_fuller_of_two_balanced_targets():
    loads = fleet_of(emptier=(16_000, 8), fuller=(8000, 4))
    even = resource.Resources(2000, 4000, 0, 1)
    assert choose(job.Kind.BATCH, loads, even) == 'fuller'


def test_request_takes_the_target_that_stays_usable():
    loads = fleet_of(last_slot=(12_000, 1), balanced=(8000, 4))
    assert choose(job.Kind.REQUEST, loads) == 'balanced'


def test_choose_avoids_the_target_that_failed_last_if_it_can():
    loads = fleet_of(failed=(8000, 4), other=(2000, 1))
    assert choose(job.Kind.REQUEST, loads, avoid='failed') == 'other'
    only_failed = fleet_of(failed=(8000, 4))
    assert choose(job.Kind.REQUEST, only_failed, avoid='failed') == 'failed'


def test_choose_finds_nothing_where_nothing_fits():
    loads = fleet_of(no_processor=(500, 8), no_slot=(16_000, 0))
    assert choose(job.Kind.BATCH, loads) is None
    assert choose(job.Kind.REQUEST, loads) is None
