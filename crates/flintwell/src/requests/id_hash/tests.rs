use super::*;

/// Computed by another implementation of SipHash-1-3. Processes of other versions have to compute the same.
#[test]
fn hash_of_an_id_is_the_specified_one() {
    let hashes = ["", "a", "7d0c1f", "0123456789abcdef0"].map(|id| IdHash::of(&id.into()).0);
    assert_eq!(
        hashes,
        [0x3040_6ea5_23c5_3def, 0x719b_50b9_a4f0_e9f3, 0xf925_579a_01aa_94eb, 0x6f80_3d4b_c16b_0714]
    );
}
